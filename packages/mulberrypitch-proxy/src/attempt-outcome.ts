/** How one send of a request ended, and what follows from it. Every reply of the proxy's own is derived here. */
import type {ResponseHead} from './answer-parser.js';

/** A whole answer that was not shown to the caller. */
export type BufferedResponse = {
	readonly head: ResponseHead;
	readonly body: Uint8Array;
};

/** How one send ended. */
export type AttemptOutcome
	/** The caller has the whole answer. */
	= | {readonly kind: 'delivered'}
	/** Proved not to have run: it never left, or the back end said so with a status. `earlierFailure` is the failure that another one gave. */
		| {readonly kind: 'notRun'; readonly reason: string; readonly wasSent: boolean; readonly status?: number; readonly earlierFailure?: BufferedResponse}
	/** The back end failed it and said so in a whole answer. */
		| {readonly kind: 'failed'; readonly answer: BufferedResponse}
	/** It may have run; nothing was shown to the caller. */
		| {readonly kind: 'unknown'; readonly reason: string}
	/** A part of the answer was shown to the caller. */
		| {readonly kind: 'cut'; readonly reason: string}
	/** The time of the route or of the caller is over. */
		| {readonly kind: 'timeout'; readonly hasStarted: boolean}
	/** The caller left. */
		| {readonly kind: 'abandoned'};

type NotRun = Extract<AttemptOutcome, {kind: 'notRun'}>;

/** What decides on the next step. */
export type AttemptFacts = {
	/** The request may run again, from its start or from the last event shown. */
	readonly isRetryable: boolean;
	readonly isResumable: boolean;
	/** A part of an answer was shown to the caller, so no other answer may follow it. */
	readonly hasStarted: boolean;
	/** Back ends on which it may have run so far, this one included. */
	readonly runCount: number;
	readonly maxAttempts: number;
	/** Sends so far. */
	readonly sendCount: number;
	/** Another send fits the time left. */
	readonly hasTime: boolean;
	/** Takes one repeat from the budget of the service, if there is one left. */
	readonly takeRetry: () => boolean;
};

/** What follows. */
export type NextStep
	= | {readonly kind: 'done'}
		| {readonly kind: 'sendAgain'}
	/** Deliver the answer that the back end gave. */
		| {readonly kind: 'deliver'; readonly answer: BufferedResponse}
	/** Reply with a status of the proxy's own. */
		| {readonly kind: 'reply'; readonly status: number; readonly reason: string}
	/** Close the caller's connection, since a part of an answer was shown. */
		| {readonly kind: 'close'; readonly reason: string};

/** Sends of one request, whatever was proved of the earlierFailure ones. */
const maxSends = 4;

/**
Decides what follows from the end of one send.

@example
```
const step = decideNextStep({kind: 'notRun', reason: 'full', wasSent: true}, facts);
```
*/
export function decideNextStep(outcome: AttemptOutcome, facts: AttemptFacts): NextStep {
	switch (outcome.kind) {
		case 'delivered':
		case 'abandoned': {
			return {kind: 'done'};
		}

		case 'notRun': {
			return decideAfterNotRun(outcome, facts);
		}

		case 'failed': {
			return facts.isRetryable && canRetry(facts) ? {kind: 'sendAgain'} : deliver(outcome.answer, facts);
		}

		case 'unknown': {
			return facts.isRetryable && canRetry(facts) ? {kind: 'sendAgain'} : {kind: 'reply', status: 502, reason: outcome.reason};
		}

		case 'cut': {
			return facts.isResumable && canRetry(facts) ? {kind: 'sendAgain'} : {kind: 'close', reason: outcome.reason};
		}

		case 'timeout': {
			return outcome.hasStarted ? {kind: 'close', reason: 'timeout'} : {kind: 'reply', status: 504, reason: 'timeout'};
		}
	}
}

function decideAfterNotRun({reason, wasSent, earlierFailure}: NotRun, facts: AttemptFacts): NextStep {
	const canResend = facts.hasTime && facts.sendCount < maxSends && (!wasSent || facts.takeRetry());
	if (canResend) {
		return {kind: 'sendAgain'};
	}

	if (facts.hasStarted) {
		return {kind: 'close', reason};
	}

	if (earlierFailure !== undefined) {
		return deliver(earlierFailure, facts);
	}

	// An earlierFailure send may have run a request that may be repeated, so only the first one makes the promise.
	return facts.runCount === 0 ? {kind: 'reply', status: 503, reason} : {kind: 'reply', status: 502, reason};
}

/** A failure after a part of a stream must not look like its end. */
function deliver(answer: BufferedResponse, {hasStarted}: AttemptFacts): NextStep {
	return hasStarted ? {kind: 'close', reason: `the back end that went on answered ${answer.head.status}`} : {kind: 'deliver', answer};
}

function canRetry({runCount, maxAttempts, sendCount, hasTime, takeRetry}: AttemptFacts): boolean {
	return hasTime && runCount < maxAttempts && sendCount < maxSends && takeRetry();
}
