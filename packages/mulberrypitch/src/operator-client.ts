/** Calls of the operators' API on one entry host. */
import {request} from 'undici';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {createErrorFromWire, type WireFailure} from '@mulberrypitch/errors/coded-error';
import {PeerUnreachableError, ProtocolError} from '@mulberrypitch/errors/catalogue';

const timeoutMs = 15_000;

/** Where the operators' API is. */
export type OperatorTarget = {
	/** Base address of an entry host. */
	readonly host: string;
	readonly token: string;
};

/**
Calls the API and gives the reply. Failures come back with their types.

@example
```
const status = await callOperatorApi(target, 'GET', '/v1/admin/status');
```
*/
export async function callOperatorApi<Reply>(target: OperatorTarget, method: 'GET' | 'POST', path: string, body?: unknown): Promise<Reply> {
	const {statusCode, text} = await send(target, method, path, body);
	const reply = parseReply(text, target.host);
	if (statusCode >= 400) {
		throw createErrorFromWire(assumeType<{error: WireFailure}>(reply).error);
	}

	return assumeType<Reply>(reply);
}

async function send(target: OperatorTarget, method: 'GET' | 'POST', path: string, body: unknown): Promise<{statusCode: number; text: string}> {
	try {
		const response = await request(new URL(path, target.host), {
			method,
			headersTimeout: timeoutMs,
			headers: {authorization: `Bearer ${target.token}`, 'content-type': 'application/json'},
			...(body !== undefined && {body: JSON.stringify(body)}),
		});
		return {statusCode: response.statusCode, text: await response.body.text()};
	} catch (error) {
		throw new PeerUnreachableError(target.host, {cause: error});
	}
}

function parseReply(text: string, host: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		throw new ProtocolError(`${host} did not answer in JSON.`);
	}
}
