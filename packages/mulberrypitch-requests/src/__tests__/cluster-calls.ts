/** Calls that tests of requests make, and what they receive for them. */
import {createHash} from 'node:crypto';
import {ends, type Outcome} from '@mulberrypitch/control/types';
import {countTokens} from '@mulberrypitch/fakes/memory-backends';
import type {AcceptedRequest, IncomingCall} from '../types.js';

const deadlineMs = 60_000;

/** The part of an answer that a reader has received so far. */
export type Received = {
	text: string;
	outcome?: Outcome;
};

/**
Creates a call that generates a document of a number of tokens.

@example
```
const accepted = await host.requests.submit(createDocument('plan', 50));
```
*/
export function createDocument(prompt: string, tokens: number, idempotencyKey?: string): IncomingCall {
	return {
		...createCall('advice', 'engine'),
		body: {
			// eslint-disable-next-line @typescript-eslint/naming-convention -- The wire format's own name.
			method: 'POST', path: '/v1/completions', contentType: 'application/json', text: JSON.stringify({prompt, max_tokens: tokens}),
		},
		isIdempotent: true,
		maxTokens: tokens,
		...(idempotencyKey !== undefined && {idempotencyKey}),
	};
}

/**
Creates a call for a chat completion of some messages.

@example
```
const accepted = await host.requests.submit(createChat(['Answer briefly.', 'Which filter?'], 50));
```
*/
export function createChat(messages: readonly string[], tokens: number): IncomingCall {
	return {
		...createCall('advice', 'engine'),
		body: {
			method: 'POST',
			path: '/v1/chat/completions',
			contentType: 'application/json',
			// eslint-disable-next-line @typescript-eslint/naming-convention -- The wire format's own name.
			text: JSON.stringify({messages: messages.map(content => ({role: 'user', content})), max_tokens: tokens}),
		},
		isIdempotent: true,
		maxTokens: tokens,
	};
}

/**
Creates a booking call, which is not idempotent.

@example
```
const accepted = await host.requests.submit(createBooking('filter', 'key-1'));
```
*/
export function createBooking(text: string, idempotencyKey: string): IncomingCall {
	return {
		...createCall('bookings', 'plain'),
		body: {
			method: 'POST', path: '/book', contentType: 'application/json', text,
		},
		idempotencyKey,
	};
}

/**
Collects an answer in the background while it streams.

@example
```
const received = collectAnswer(accepted);
```
*/
export function collectAnswer(accepted: AcceptedRequest, fromOffset = 0, signal: AbortSignal = new AbortController().signal): Received {
	const received: Received = {text: ''};
	void (async () => {
		for await (const event of accepted.read(fromOffset, signal)) {
			if (event.kind === 'chunk') {
				received.text += event.chunk.text;
			} else {
				received.outcome = event.outcome;
			}
		}
	})();

	return received;
}

/**
Reports whether a reader received all tokens of the document, with the digest that its outcome states.

@example
```
t.ok(isWhole(received, 'plan', 50));
```
*/
export function isWhole({text, outcome}: Received, prompt: string, tokens: number): boolean {
	return outcome?.end === ends.answered
		&& countTokens(text, prompt) === tokens
		&& createHash('sha256').update(text).digest('hex') === outcome.digest;
}

function createCall(service: string, kind: 'engine' | 'plain'): IncomingCall {
	return {
		workspace: {
			name: 'clinic', keyDigest: '', share: 1, maxInFlight: 1000, services: [],
		},
		service: {
			name: service, kind, firstTokenMs: 500, betweenTokensMs: 100, deadlineMs, queueLimit: 1000, idempotentPaths: ['stock'],
		},
		body: {
			method: 'POST', path: '/', contentType: 'application/json', text: '',
		},
		isIdempotent: false,
		deadlineMs,
		prefix: '',
		maxTokens: 0,
	};
}
