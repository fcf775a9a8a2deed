/** Reads the parts of the paths of requests. */
import {BadRequestError} from '@mulberrypitch/errors/catalogue';

/**
Returns a part of a path without its percent-encoding. Throws `BadRequestError` when it can't be decoded.

@example
```
decodePathPart('%C5%82'); // 'ł'
```
*/
export function decodePathPart(part: string): string {
	try {
		return decodeURIComponent(part);
	} catch {
		throw new BadRequestError(`${part} can't be decoded.`);
	}
}
