/** The outcomes of an attempt to send a request, and the decision about the next step. All local replies after an attempt are decided here. */
import type {ResponseHead} from './response-parser.js';

/** A complete response that was not written to the caller. */
export type BufferedResponse = {
	readonly head: ResponseHead;
	readonly body: Uint8Array;
};

/** How one attempt ended. */
export type AttemptOutcome
	/** The caller has the complete response. */
	= | {readonly kind: 'delivered'}
	/**
	Proven not to have been executed: it was never sent, or the back end said so by a status or header. `earlierFailure` is
	the failure response of an earlier attempt.
	*/
		| {readonly kind: 'notRun'; readonly reason: string; readonly wasSent: boolean; readonly status?: number; readonly earlierFailure?: BufferedResponse}
	/** The back end failed and said so in a complete response. */
		| {readonly kind: 'failed'; readonly answer: BufferedResponse}
	/** The request may have been executed; nothing was written to the caller. */
		| {readonly kind: 'unknown'; readonly reason: string}
	/** The response ended early, after a part of it was written to the caller. */
		| {readonly kind: 'cut'; readonly reason: string}
	/** The deadline of the route or of the caller has passed. */
		| {readonly kind: 'timeout'; readonly hasStarted: boolean}
	/** The caller disconnected. */
		| {readonly kind: 'abandoned'};

type NotRun = Extract<AttemptOutcome, {kind: 'notRun'}>;

/** State on which the next step depends. */
export type AttemptState = {
	/** Whether the request may be executed more than once, from its start or from the last event that was written. */
	readonly isRetryable: boolean;
	readonly isResumable: boolean;
	/** Whether a part of a response was written to the caller, so that no other response may follow. */
	readonly hasStarted: boolean;
	/** Number of back ends that may have executed the request so far, including the last one. */
	readonly runCount: number;
	readonly maxAttempts: number;
	/** Number of attempts so far. */
	readonly sendCount: number;
	/** Whether enough time is left for another attempt. */
	readonly hasTime: boolean;
	/** Takes one retry from the service's retry budget; returns whether one was left. */
	readonly takeRetry: () => boolean;
};

/** What to do after an attempt. */
export type NextStep
	= | {readonly kind: 'done'}
		| {readonly kind: 'sendAgain'}
	/** Deliver the back end's response. */
		| {readonly kind: 'deliver'; readonly answer: BufferedResponse}
	/** Send a local reply. */
		| {readonly kind: 'reply'; readonly status: number; readonly reason: string}
	/** Close the caller's connection, since a part of the response was written. */
		| {readonly kind: 'close'; readonly reason: string};

/** Most attempts per request, including those that are proven not to have been executed. */
const maxSends = 4;

/**
Decides what to do after an attempt has ended.

@example
```
const step = decideNextStep({kind: 'notRun', reason: 'full', wasSent: true}, state);
```
*/
export function decideNextStep(outcome: AttemptOutcome, state: AttemptState): NextStep {
	switch (outcome.kind) {
		case 'delivered':
		case 'abandoned': {
			return {kind: 'done'};
		}

		case 'notRun': {
			return decideAfterNotRun(outcome, state);
		}

		case 'failed': {
			return state.isRetryable && canRetry(state) ? {kind: 'sendAgain'} : deliver(outcome.answer, state);
		}

		case 'unknown': {
			return state.isRetryable && canRetry(state) ? {kind: 'sendAgain'} : {kind: 'reply', status: 502, reason: outcome.reason};
		}

		case 'cut': {
			return state.isResumable && canRetry(state) ? {kind: 'sendAgain'} : {kind: 'close', reason: outcome.reason};
		}

		case 'timeout': {
			return outcome.hasStarted ? {kind: 'close', reason: 'timeout'} : {kind: 'reply', status: 504, reason: 'timeout'};
		}
	}
}

function decideAfterNotRun({reason, wasSent, earlierFailure}: NotRun, state: AttemptState): NextStep {
	const canResend = state.hasTime && state.sendCount < maxSends && (!wasSent || state.takeRetry());
	if (canResend) {
		return {kind: 'sendAgain'};
	}

	if (state.hasStarted) {
		return {kind: 'close', reason};
	}

	if (earlierFailure !== undefined) {
		return deliver(earlierFailure, state);
	}

	// An earlier attempt may have executed a retryable request, and status 503 promises that no attempt did.
	return state.runCount === 0 ? {kind: 'reply', status: 503, reason} : {kind: 'reply', status: 502, reason};
}

/** After a part of a stream, a failure response must not look like the stream's end. */
function deliver(answer: BufferedResponse, {hasStarted}: AttemptState): NextStep {
	return hasStarted ? {kind: 'close', reason: `the back end that went on answered ${answer.head.status}`} : {kind: 'deliver', answer};
}

function canRetry({runCount, maxAttempts, sendCount, hasTime, takeRetry}: AttemptState): boolean {
	return hasTime && runCount < maxAttempts && sendCount < maxSends && takeRetry();
}
