/** Builds the head of a request as it is sent to a back end. */
import type {Header} from './response-parser.js';
import {getEndToEndHeaders} from './response-relay.js';
import type {HeaderNames} from './types.js';

/** A caller's request without its body. */
export type CallerHead = {
	readonly method: string;
	/** Path and query, unchanged. */
	readonly path: string;
	readonly headers: readonly Header[];
};

/** Header values that the proxy sets itself. */
export type ForwardedFields = {
	readonly backendId: string;
	readonly deadlineMs: number;
	/** Absent when the configuration requires no keys. */
	readonly workspace: string | undefined;
	readonly backendPriority: number;
	/** Replaces the caller's own value when the proxy resumes a stream. */
	readonly lastEventId: string | undefined;
	readonly bodyLength: number;
	readonly dropsKey: boolean;
};

/**
Returns the text of the head: all of the caller's headers, except hop-by-hop ones and those that only the proxy sets, and
the proxy's own.

@example
```
connection.send(createRequestHead(caller, facts, names), body, exchange);
```
*/
export function createRequestHead({method, path, headers}: CallerHead, facts: ForwardedFields, names: HeaderNames): string {
	const replaced = new Set([...names.reserved, names.deadline, names.expectedBackend, names.workspace, names.backendPriority, 'content-length', 'expect']);
	if (facts.dropsKey) {
		replaced.add('authorization');
	}

	if (facts.lastEventId !== undefined) {
		replaced.add(names.lastEventId);
	}

	const lines = getEndToEndHeaders(headers)
		.filter(({name}) => !replaced.has(name.toLowerCase()))
		.map(({name, value}) => `${name}: ${value}`);
	lines.push(
		`${names.deadline}: ${Math.max(1, Math.floor(facts.deadlineMs))}`,
		`${names.expectedBackend}: ${facts.backendId}`,
		`${names.backendPriority}: ${facts.backendPriority}`,
	);
	if (facts.workspace !== undefined) {
		lines.push(`${names.workspace}: ${facts.workspace}`);
	}

	if (facts.lastEventId !== undefined) {
		lines.push(`${names.lastEventId}: ${facts.lastEventId}`);
	}

	if (facts.bodyLength > 0 || (method !== 'GET' && method !== 'HEAD')) {
		lines.push(`content-length: ${facts.bodyLength}`);
	}

	return `${method} ${path} HTTP/1.1\r\n${lines.join('\r\n')}\r\n\r\n`;
}
