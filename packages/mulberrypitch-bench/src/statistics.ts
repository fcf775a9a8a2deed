/** Statistics of measured samples. */

/**
Returns the quantile of the samples, or `NaN` when there are none; the second parameter is a share between 0 and 1.

@example
```
getQuantile([3, 1, 2], 0.5); // 2
```
*/
export function getQuantile(samples: readonly number[], share: number): number {
	const sorted = samples.toSorted((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? Number.NaN;
}

/**
Returns the value rounded to two decimals, for printing.

@example
```
round(1.2345); // 1.23
```
*/
export function round(value: number): number {
	return Math.round(value * 100) / 100;
}

/**
Returns the slope of the least-squares line through the points.

@example
```
getSlope([[1, 2], [2, 4]]); // 2
```
*/
export function getSlope(points: ReadonlyArray<readonly [number, number]>): number {
	const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
	const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
	const covariance = points.reduce((sum, [x, y]) => sum + ((x - meanX) * (y - meanY)), 0);
	const variance = points.reduce((sum, [x]) => sum + ((x - meanX) ** 2), 0);
	return covariance / variance;
}
