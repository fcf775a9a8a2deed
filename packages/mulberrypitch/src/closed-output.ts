/** Lets commands end quietly when the reader of their output has left, as `head` does. */
import process from 'node:process';
import {getSystemCode} from '@mulberrypitch/errors/coded-error';

/** Code of the error of a write to a pipe without a reader. */
const closedPipe = 'EPIPE';

/**
Ends the process without a message once nobody reads its output any more, and ignores it if nobody reads its errors.

@example
```
endWhenOutputIsClosed();
```
*/
export function endWhenOutputIsClosed(): void {
	process.stdout.on('error', (error: Error) => {
		if (getSystemCode(error) !== closedPipe) {
			throw error;
		}

		// What is left to do would only be written.
		// eslint-disable-next-line unicorn/no-process-exit
		process.exit();
	});
	process.stderr.on('error', (error: Error) => {
		if (getSystemCode(error) !== closedPipe) {
			throw error;
		}
	});
}
