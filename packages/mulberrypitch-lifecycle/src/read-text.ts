/** Reads bodies that peers send, up to a limit. */
import {TooLargeError} from '@mulberrypitch/errors/catalogue';
import {ByteBuffer} from './byte-buffer.js';

/** Limits on the body that is read. */
export type BodyLimit = {
	readonly maxBytes: number;
	/** Names the body in the error, as the subject of a sentence. */
	readonly subject: string;
};

/**
Returns the whole body as UTF-8 text. Throws `TooLargeError` as soon as it is longer than the limit; the rest is not read, and the
connection is closed.

@example
```
const text = await readText(response.body, {maxBytes: 1024, subject: 'The response of a back end'});
```
*/
export async function readText(body: AsyncIterable<Uint8Array>, {maxBytes, subject}: BodyLimit): Promise<string> {
	const received = new ByteBuffer();
	for await (const part of body) {
		if (received.lengthBytes + part.length > maxBytes) {
			throw new TooLargeError(subject, maxBytes);
		}

		received.append(part);
	}

	return received.bytes.toString();
}
