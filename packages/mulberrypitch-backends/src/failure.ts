/** Converts errors of HTTP calls to back ends into typed errors. */
import {getMessage, getSystemCode} from '@mulberrypitch/errors/coded-error';
import {errors} from 'undici';
import {BackendFailedError} from '@mulberrypitch/errors/catalogue';

/** Error codes of failures to connect. The request was not sent, so even one that is not idempotent can be sent again. */
const connectFailureCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/**
Converts the error of one call. Its detail `isNotSent` is true only when no connection was made, so no byte of the request
was sent. A `BackendFailedError` is returned unchanged.

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
	const isNotSent = connectFailureCodes.has(code) || error instanceof errors.ConnectTimeoutError;
	return new BackendFailedError(`Back end ${address} failed: ${code === '' ? getMessage(error) : code}.`, {isNotSent}, {cause: error});
}
