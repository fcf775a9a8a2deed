/** Names of offers. */
import type {Offer} from './types.js';

/**
Gives the name under which refusals and reclaims of an offer are counted.

@example
```
const key = getOfferKey(offer); // 'palermo/standard/reclaimable'
```
*/
export function getOfferKey({zone, machineClass, market}: Offer): string {
	return `${zone}/${machineClass}/${market}`;
}
