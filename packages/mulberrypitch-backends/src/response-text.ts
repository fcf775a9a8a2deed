/** Reads the bodies of back ends' answers up to a limit. */
import {Buffer} from 'node:buffer';
import {TooLargeError} from '@mulberrypitch/errors/catalogue';

/**
Returns the whole body as UTF-8 text. Throws `TooLargeError` as soon as it is longer than the limit in bytes; the rest is not read, and the
connection is closed.

@example
```
const text = await readText(response.body, 1024);
```
*/
export async function readText(body: AsyncIterable<Uint8Array>, limitBytes: number): Promise<string> {
	const parts: Uint8Array[] = [];
	let lengthBytes = 0;
	for await (const part of body) {
		lengthBytes += part.length;
		if (lengthBytes > limitBytes) {
			throw new TooLargeError('The response of a back end', limitBytes);
		}

		parts.push(part);
	}

	return Buffer.concat(parts).toString();
}
