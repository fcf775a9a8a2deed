/** Builds the head of a request as a back end gets it. */
import type {Header} from './answer-parser.js';
import {getEndToEndHeaders} from './answer-relay.js';
import type {HeaderNames} from './types.js';

/** A caller's request without its body. */
export type CallerHead = {
	readonly method: string;
	/** Path and query, as they came. */
	readonly path: string;
	readonly headers: readonly Header[];
};

/** What the system says in the place of the caller. */
export type ForwardedFields = {
	readonly backendId: string;
	readonly deadlineMs: number;
	/** Absent where callers need no keys. */
	readonly workspace: string | undefined;
	readonly backendPriority: number;
	/** Takes the place of the caller's own when the system resumes a stream. */
	readonly lastEventId: string | undefined;
	readonly bodyLength: number;
	readonly dropsKey: boolean;
};

/**
Gives the text of the head. All headers of the caller pass, except those of one connection and those that only the system
sets.

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
