/** Turns failures of HTTP calls to back ends into typed failures. */
import {getMessage, getSystemCode} from '@mulberrypitch/errors/coded-error';
import {errors} from 'undici';
import {BackendFailedError} from '@mulberrypitch/errors/catalogue';

const notSentCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/**
Builds the failure of one call. `isNotSent` is true only when no connection was made, so that no byte went out.

@example
```
throw createBackendFailure(error, call.address);
```
*/
export function createBackendFailure(error: unknown, address: string): BackendFailedError {
	if (error instanceof BackendFailedError) {
		return error;
	}

	const code = getSystemCode(error) ?? '';
	const isNotSent = notSentCodes.has(code) || error instanceof errors.ConnectTimeoutError;
	return new BackendFailedError(`Back end ${address} failed: ${code === '' ? getMessage(error) : code}.`, {isNotSent}, {cause: error});
}
