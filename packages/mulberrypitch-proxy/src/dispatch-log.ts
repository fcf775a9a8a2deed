/** Logs that a request is about to be sent to a back end, with the inputs of that decision. */
import {events} from '@mulberrypitch/logger/events';
import type {KnownBackend} from './known-backend.js';
import type {ProxiedRequestOptions} from './proxied-request-options.js';

/** The send that is logged. */
export type DispatchedSend = {
	readonly backend: KnownBackend;
	/** Number of the send of its request, from one. */
	readonly send: number;
	/** Time in milliseconds for which the request waited for a permit. */
	readonly waitedMs: number;
};

/**
Logs the send of a request.

@example
```
logDispatch(options, {backend: permit.backend, send: 1, waitedMs: 0});
```
*/
export function logDispatch({
	logger, attemptId, service, clock, deadlineAt, relay, getDecisionContext, prompt, position,
}: ProxiedRequestOptions, {backend, send, waitedMs}: DispatchedSend): void {
	logger.log(events.requestDispatched, {
		request: attemptId,
		service,
		promptTokens: prompt.tokens,
		backend: backend.id,
		version: backend.announced.version,
		send,
		load: backend.load,
		pendingTokens: Math.round(backend.pendingTokens),
		slots: backend.slots,
		limitPerSecond: backend.requestsPerSecond,
		recentSends: backend.recentSends,
		waitedMs: Math.round(waitedMs),
		leftMs: Math.round(deadlineAt - clock.now()),
		lastEventId: relay.lastEventId ?? position?.lastEventId,
		resumes: position?.attemptId,
		...getDecisionContext(),
	});
}
