/** The logarithm of the beta function, which marginal likelihoods of proportions need. */

/** From this argument on, four terms of Stirling's series are exact to 1e-10. */
const stirlingMin = 10;

/**
Returns the natural logarithm of the beta function of two positive numbers.

@example
```
const logMarginal = getLogBeta(1 + failed, 1 + succeeded);
```
*/
export function getLogBeta(a: number, b: number): number {
	return getLogGamma(a) + getLogGamma(b) - getLogGamma(a + b);
}

function getLogGamma(value: number): number {
	let x = value;
	let product = 1;
	while (x < stirlingMin) {
		product *= x;
		x += 1;
	}

	const inverse = 1 / x;
	const square = inverse ** 2;
	const series = inverse * ((1 / 12) - (square * ((1 / 360) - (square * ((1 / 1260) - (square / 1680))))));
	return ((x - 0.5) * Math.log(x)) - x + (Math.log(2 * Math.PI) / 2) + series - Math.log(product);
}
