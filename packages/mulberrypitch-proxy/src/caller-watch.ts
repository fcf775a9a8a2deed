/** Watches whether a caller stays for the response. */
import type {ServerResponse} from 'node:http';

/**
Returns a signal that aborts when the caller leaves before the end of the response.

@example
```
const signal = watchCaller(response);
```
*/
export function watchCaller(response: ServerResponse): AbortSignal {
	const caller = new AbortController();
	if (response.destroyed) {
		caller.abort();
	}

	response.once('close', () => {
		if (!response.writableFinished) {
			caller.abort();
		}
	});
	return caller.signal;
}
