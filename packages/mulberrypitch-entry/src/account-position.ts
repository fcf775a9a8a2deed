/** Reads the position from which an operator asks for audit records. */
import {BadRequestError} from '@mulberrypitch/errors/catalogue';

/**
Returns the position in the query `from` of a URL path, or 1 without it. Throws `BadRequestError` unless it is an integer from 1.

@example
```
const from = getAccountPosition('/v1/admin/account?from=200');
```
*/
export function getAccountPosition(url: string): number {
	const text = new URL(url, 'http://host').searchParams.get('from') ?? '1';
	const position = Number(text);
	if (text.trim() === '' || !Number.isSafeInteger(position) || position < 1) {
		throw new BadRequestError(`from is "${text}", but must be an integer from 1.`);
	}

	return position;
}
