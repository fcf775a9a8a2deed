/** Chooses the service that handles a request. */
import type {Random} from '@mulberrypitch/lifecycle/random';
import type {Route} from '@mulberrypitch/serving/types';

/**
Returns the service for a request, drawn at random by the weights of the route's targets.

@example
```
const service = chooseService(route, random);
```
*/
export function chooseService({targets}: Route, random: Random): string {
	const total = targets.reduce((sum, {weight}) => sum + weight, 0);
	let remainder = random.next() * total;
	for (const {service, weight} of targets) {
		remainder -= weight;
		if (remainder < 0) {
			return service;
		}
	}

	return targets.findLast(({weight}) => weight > 0)!.service;
}
