/** Client of the operator API, which every entry host serves under `/v1/admin/`. */
import {request} from 'undici';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {
	createErrorFromWire, hasCode, isWireFailure, type CodedError,
} from '@mulberrypitch/errors/coded-error';
import {
	codes, PeerUnreachableError, ProtocolError, TimeoutError,
} from '@mulberrypitch/errors/catalogue';
import {encodeHeaderText} from '@mulberrypitch/lifecycle/header-text';
import {SystemClock, type Clock} from '@mulberrypitch/lifecycle/clock';
import {readText} from '@mulberrypitch/lifecycle/read-text';
import {withTimeout} from '@mulberrypitch/lifecycle/with-timeout';

/** Time in milliseconds within which the whole reply must have arrived. */
const replyTimeoutMs = 30_000;
/** Largest reply in bytes. */
const maxReplyBytes = 16 * 1024 * 1024;

/** Address and credentials of the operator API. */
export type OperatorEndpoint = {
	/** Base URL of an entry host. */
	readonly host: string;
	/** Operator token, sent as bearer token. */
	readonly token: string;
	/** Clock of the timeout; the system's clock if absent. */
	readonly clock?: Clock;
};

/** A call of the operator API. */
type OperatorCall = {
	readonly method: 'GET' | 'POST';
	readonly path: string;
	/** Value to send as JSON; absent if there is none. */
	readonly body?: unknown;
};

type Reply = {
	readonly statusCode: number;
	readonly text: string;
};

/**
Calls the operator API and returns the parsed reply. Throws the `CodedError` that the host reports, `PeerUnreachableError` when
the call fails or times out, and `ProtocolError` when the reply is too long or not JSON.

@example
```
const status = await callOperatorApi(endpoint, 'GET', '/v1/admin/status');
```
*/
export async function callOperatorApi<Value>(endpoint: OperatorEndpoint, method: 'GET' | 'POST', path: string, body?: unknown): Promise<Value> {
	const {statusCode, text} = await sendInTime(endpoint, {method, path, body});
	const reply = parseReply(text, endpoint.host);
	if (statusCode >= 400) {
		throw parseFailure(reply, endpoint.host);
	}

	return assumeType<Value>(reply);
}

async function sendInTime(endpoint: OperatorEndpoint, call: OperatorCall): Promise<Reply> {
	const {host, clock = new SystemClock()} = endpoint;
	const abort = new AbortController();
	try {
		return await withTimeout(clock, sendRequest(endpoint, call, abort.signal), replyTimeoutMs, () => new TimeoutError(host, replyTimeoutMs));
	} catch (error) {
		throw hasCode(error, codes.tooLarge) ? new ProtocolError(error.message) : new PeerUnreachableError(host, {cause: error});
	} finally {
		abort.abort();
	}
}

async function sendRequest({host, token}: OperatorEndpoint, {method, path, body}: OperatorCall, signal: AbortSignal): Promise<Reply> {
	const response = await request(new URL(path, host), {
		method,
		signal,
		headersTimeout: replyTimeoutMs,
		headers: {authorization: `Bearer ${encodeHeaderText(token)}`, 'content-type': 'application/json'},
		...(body !== undefined && {body: JSON.stringify(body)}),
	});
	return {statusCode: response.statusCode, text: await readText(response.body, {maxBytes: maxReplyBytes, subject: `The reply of ${host}`})};
}

function parseReply(text: string, host: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		throw new ProtocolError(`${host} sent a reply that is not JSON.`);
	}
}

function parseFailure(reply: unknown, host: string): CodedError {
	const failure = assumeType<{readonly error?: unknown} | undefined>(reply ?? undefined)?.error;
	return isWireFailure(failure) ? createErrorFromWire(failure) : new ProtocolError(`${host} sent an error that can't be read.`);
}
