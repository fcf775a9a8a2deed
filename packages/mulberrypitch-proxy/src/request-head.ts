/**
 * Builds the head of a request as it is sent to a back end. In it, each character stands for one byte: the caller's own headers are passed on byte for
 * byte, and names of this program are converted to UTF-8.
 */
import {assertInvariant} from '@mulberrypitch/errors/catalogue';
import {encodeHeaderText, isHeaderText} from '@mulberrypitch/lifecycle/header-text';
import type {Header} from './response-head.js';
import {getEndToEndHeaders} from './response-relay.js';
import type {HeaderNames} from './types.js';

/** A caller's request without its body. */
export type CallerHead = {
	readonly method: string;
	/** Path and query, unchanged. */
	readonly path: string;
	readonly headers: readonly Header[];
};

/** Values of the headers that the proxy sets itself, and what decides about others. */
export type ForwardedFields = {
	readonly backendId: string;
	/** Time in milliseconds that is left until the deadline. */
	readonly deadlineMs: number;
	/** Absent when the configuration requires no keys. */
	readonly workspace: string | undefined;
	readonly backendPriority: number;
	/** Bytes, one character for each, that replace the caller's own value when the proxy resumes a stream. */
	readonly lastEventId: string | undefined;
	readonly bodyLength: number;
	/** Whether to leave out the caller's `Authorization` header. */
	readonly dropsKey: boolean;
};

/**
Returns the text of the head. It has the caller's headers, except hop-by-hop ones and those that only the proxy sets, followed by
the proxy's own headers.

@example
```
connection.send(createRequestHead(caller, fields, names), body, exchange);
```
*/
export function createRequestHead({method, path, headers}: CallerHead, fields: ForwardedFields, names: HeaderNames): string {
	const replaced = new Set([...names.reserved, names.hop, names.deadline, names.expectedBackend, names.workspace, names.backendPriority, 'content-length', 'expect']);
	if (fields.dropsKey) {
		replaced.add('authorization');
	}

	if (fields.lastEventId !== undefined) {
		replaced.add(names.lastEventId);
	}

	const lines = getEndToEndHeaders(headers)
		.filter(({name}) => !replaced.has(name.toLowerCase()))
		.map(({name, value}) => `${name}: ${value}`);
	lines.push(
		`${names.deadline}: ${formatDeadline(fields.deadlineMs)}`,
		formatName(names.expectedBackend, fields.backendId),
		`${names.backendPriority}: ${fields.backendPriority}`,
	);
	if (fields.workspace !== undefined) {
		lines.push(formatName(names.workspace, fields.workspace));
	}

	if (fields.lastEventId !== undefined) {
		lines.push(`${names.lastEventId}: ${fields.lastEventId}`);
	}

	return formatHead({method, path}, lines, fields.bodyLength);
}

/**
Returns the text of the head of a request that is passed on to another entry. It has the caller's headers, except hop-by-hop ones, with the time that is
left.

@example
```
connection.send(createForwardedHead(caller, {deadlineMs: 800, bodyLength: body.length}, names), body, exchange);
```
*/
export function createForwardedHead({method, path, headers}: CallerHead, {deadlineMs, bodyLength}: Pick<ForwardedFields, 'deadlineMs' | 'bodyLength'>, names: HeaderNames): string {
	const replaced = new Set([names.hop, names.deadline, 'content-length', 'expect']);
	const lines = getEndToEndHeaders(headers)
		.filter(({name}) => !replaced.has(name.toLowerCase()))
		.map(({name, value}) => `${name}: ${value}`);
	lines.push(`${names.deadline}: ${formatDeadline(deadlineMs)}`, `${names.hop}: 1`);
	return formatHead({method, path}, lines, bodyLength);
}

/** Returns a line with a name of this program. A name that no header can carry is refused where it comes in, and would add lines to the head here. */
function formatName(header: string, name: string): string {
	assertInvariant(isHeaderText(name), `The value of ${header} can't be put into a head.`);
	return `${header}: ${encodeHeaderText(name)}`;
}

function formatDeadline(deadlineMs: number): number {
	return Math.max(1, Math.floor(deadlineMs));
}

function formatHead({method, path}: Pick<CallerHead, 'method' | 'path'>, lines: readonly string[], bodyLength: number): string {
	const hasLength = bodyLength > 0 || (method !== 'GET' && method !== 'HEAD');
	const all = hasLength ? [...lines, `content-length: ${bodyLength}`] : lines;
	return `${method} ${path} HTTP/1.1\r\n${all.join('\r\n')}\r\n\r\n`;
}
