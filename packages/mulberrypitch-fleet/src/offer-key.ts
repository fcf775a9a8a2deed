/** Keys of offers. */
import type {Offer} from './types.js';

/**
Returns the key under which refusals and reclaims of an offer are counted: zone, machine class and market.

@example
```
const key = getOfferKey(offer); // 'palermo/standard/reclaimable'
```
*/
export function getOfferKey({zone, machineClass, market}: Offer): string {
	return `${zone}/${machineClass}/${market}`;
}
