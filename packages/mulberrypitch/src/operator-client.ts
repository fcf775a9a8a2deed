/** Client of the operator API, which every entry host serves under `/v1/admin/`. */
import {request} from 'undici';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {createErrorFromWire, type WireFailure} from '@mulberrypitch/errors/coded-error';
import {PeerUnreachableError, ProtocolError} from '@mulberrypitch/errors/catalogue';

const responseTimeoutMs = 15_000;

/** Address and credentials of the operator API. */
export type OperatorEndpoint = {
	/** Base URL of an entry host. */
	readonly host: string;
	/** Operator token, sent as bearer token. */
	readonly token: string;
};

/**
Calls the operator API and returns the parsed reply. Throws the `CodedError` that the host reports, `PeerUnreachableError` when
the call fails or times out, and `ProtocolError` when the reply is not JSON.

@example
```
const status = await callOperatorApi(endpoint, 'GET', '/v1/admin/status');
```
*/
export async function callOperatorApi<Reply>(endpoint: OperatorEndpoint, method: 'GET' | 'POST', path: string, body?: unknown): Promise<Reply> {
	const {statusCode, text} = await sendRequest(endpoint, method, path, body);
	const reply = parseReply(text, endpoint.host);
	if (statusCode >= 400) {
		throw createErrorFromWire(assumeType<{error: WireFailure}>(reply).error);
	}

	return assumeType<Reply>(reply);
}

async function sendRequest(endpoint: OperatorEndpoint, method: 'GET' | 'POST', path: string, body: unknown): Promise<{statusCode: number; text: string}> {
	try {
		const response = await request(new URL(path, endpoint.host), {
			method,
			headersTimeout: responseTimeoutMs,
			headers: {authorization: `Bearer ${endpoint.token}`, 'content-type': 'application/json'},
			...(body !== undefined && {body: JSON.stringify(body)}),
		});
		return {statusCode: response.statusCode, text: await response.body.text()};
	} catch (error) {
		throw new PeerUnreachableError(endpoint.host, {cause: error});
	}
}

function parseReply(text: string, host: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		throw new ProtocolError(`${host} sent a reply that is not JSON.`);
	}
}
