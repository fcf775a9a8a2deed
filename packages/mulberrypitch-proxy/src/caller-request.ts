/** Reads the headers and the body of a caller's request. */
import type {IncomingMessage} from 'node:http';
import {codes, TimeoutError} from '@mulberrypitch/errors/catalogue';
import {hasCode} from '@mulberrypitch/errors/coded-error';
import type {BodyStore, StoredBody} from '@mulberrypitch/lifecycle/body-store';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {withTimeout} from '@mulberrypitch/lifecycle/with-timeout';
import type {Route, Workspace} from '@mulberrypitch/serving/types';
import type {Header} from './response-head.js';
import type {HeaderNames} from './types.js';

/** Number of tokens that no prompt has; sums of larger counts would not be exact. */
const maxTokens = 1_000_000_000;

/**
Returns the first value of a header, by its lower-case name.

@example
```
const deadline = getHeader(request, names.deadline);
```
*/
export function getHeader(request: IncomingMessage, name: string): string | undefined {
	const value = request.headers[name];
	return Array.isArray(value) ? value[0] : value;
}

/**
Returns all headers in their original order and case.

@example
```
const headers = getHeaders(request);
```
*/
export function getHeaders({rawHeaders}: IncomingMessage): readonly Header[] {
	return Array.from({length: rawHeaders.length / 2}, (_, index) => ({name: rawHeaders[2 * index]!, value: rawHeaders[(2 * index) + 1]!}));
}

/**
Returns the monotonic time in milliseconds by which the caller gets its final response: when the caller stops waiting, by the header of the
given name, or at the timeout of the route.

@example
```
const deadlineAt = getDeadlineAt(request, names.deadline, {arrivedAt, timeoutMs: 3000});
```
*/
export function getDeadlineAt(request: IncomingMessage, header: string, {arrivedAt, timeoutMs}: {readonly arrivedAt: number; readonly timeoutMs: number}): number {
	const waitMs = Number(getHeader(request, header) ?? timeoutMs);
	return arrivedAt + (Number.isFinite(waitMs) ? Math.min(waitMs, timeoutMs) : timeoutMs);
}

/**
Returns the units that a request takes from its workspace's quota: one, or the sum of the prompt tokens and the maximum number of
output tokens if the quota counts tokens. The token count is `PROMPT,MAXOUTPUT`.

@example
```
const units = getQuotaUnits(workspace, '1200,80');
```
*/
export function getQuotaUnits({countsTokens, plainTokens}: Workspace, tokenCount: string | undefined): number {
	if (!countsTokens) {
		return 1;
	}

	const counts = tokenCount?.split(',').map(Number) ?? [];
	const sum = counts.reduce((total, count) => total + count, 0);
	return tokenCount !== undefined && Number.isFinite(sum) ? limitTokens(sum) : plainTokens;
}

/** The prompt of a request, as its headers describe it. */
export type Prompt = {
	/** Zero for a request without a token count. */
	readonly tokens: number;
	/** Number of tokens of the parts that other requests share, which are all parts but the last. */
	readonly sharedTokens: number;
	/** Identifiers of the shared parts, in order. */
	readonly sharedParts: readonly string[];
	/** Identifier of the last shared part; absent if no part is shared. */
	readonly sharedPart?: string;
};

type PromptPart = {
	readonly id: string;
	readonly tokens: number;
};

/**
Reads the prompt of a request from its token count, `PROMPT,MAXOUTPUT`, and its prompt parts, `ID:TOKENS,…`.

@example
```
const {tokens, sharedPart} = readPrompt('1200,80', '5c1e:800,91bd:400');
```
*/
export function readPrompt(tokenCount: string | undefined, parts: string | undefined): Prompt {
	const tokens = readCount(tokenCount);
	const shared = (parts?.split(',') ?? []).map(part => readPart(part)).slice(0, -1);
	const sharedPart = shared.at(-1)?.id;
	return {
		tokens,
		sharedTokens: Math.min(tokens, shared.reduce((sum, part) => sum + part.tokens, 0)),
		sharedParts: shared.map(({id}) => id),
		...(sharedPart !== undefined && {sharedPart}),
	};
}

function readPart(text: string): PromptPart {
	const [id, tokens] = text.trim().split(':', 2);
	return {id: id!, tokens: readCount(tokens)};
}

function readCount(text: string | undefined): number {
	const count = Number.parseInt(text ?? '', 10);
	return Number.isFinite(count) ? limitTokens(count) : 0;
}

function limitTokens(count: number): number {
	return Math.min(maxTokens, Math.max(0, count));
}

/** Where a caller takes a stream up again. */
export type StreamPosition = {
	/** Identifier of the last event that the caller received. */
	readonly lastEventId: string;
	/** Identifier of the attempt that brought the first event; absent if the caller named none. */
	readonly attemptId?: string;
};

/**
Returns where the caller takes a stream up again, or `undefined` if it begins one.

@example
```
const position = readStreamPosition(request, names);
```
*/
export function readStreamPosition(request: IncomingMessage, names: HeaderNames): StreamPosition | undefined {
	const lastEventId = getHeader(request, names.lastEventId);
	const attemptId = getHeader(request, names.resumedAttempt);
	return lastEventId === undefined ? undefined : {lastEventId, ...(attemptId !== undefined && {attemptId})};
}

/** The body of a request, or why it can't be read. */
export type BodyRead
	= | StoredBody
	/** The caller did not send all of it in time. */
		| {readonly kind: 'late'};

/** Limits on the body of a request. */
export type BodyLimits = {
	readonly clock: Clock;
	/** Holds the body until the end of the request. */
	readonly bodies: BodyStore;
	readonly maxBytes: number;
	/** Time in milliseconds that the caller has left to send it. */
	readonly maxWaitMs: number;
};

/**
Reads the whole body.

@example
```
const read = await readBody(request, {clock, bodies, maxBytes: 1024, maxWaitMs: 3000});
```
*/
export async function readBody(request: IncomingMessage, {clock, bodies, maxBytes, maxWaitMs}: BodyLimits): Promise<BodyRead> {
	try {
		return await withTimeout(clock, bodies.read(request, maxBytes), maxWaitMs, () => new TimeoutError('The caller', maxWaitMs));
	} catch (error) {
		if (!hasCode(error, codes.timeout)) {
			throw error;
		}

		return {kind: 'late'};
	}
}
