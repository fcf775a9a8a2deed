/** Decides what becomes of each request on a back end that is reclaimed: finish there, move its KV cache, or resume from tokens. */
import type {ReclaimPolicy} from '@mulberrypitch/config/types';

/** What can become of a request. */
export const reclaimChoices = {
	/** It ends before the back end goes. */
	finish: 'finish',
	/** Its KV cache goes to another back end, which recomputes nothing. */
	move: 'move',
	/** Another back end recomputes the prompt and the tokens so far. */
	resume: 'resume',
} as const;

/** One of the choices. */
export type ReclaimChoice = typeof reclaimChoices[keyof typeof reclaimChoices];

/** A request on a back end that leaves. */
export type ReclaimedRequest = {
	readonly requestId: string;
	/** Tokens of prompt and answer that another back end would recompute. */
	readonly contextTokens: number;
	/** Tokens still to come, at most. */
	readonly remainingTokens: number;
	/** Mean time between tokens so far, in milliseconds. */
	readonly tokenMs: number;
};

/** What the planner knows of a reclaim. */
export type Reclaim = {
	readonly requests: readonly ReclaimedRequest[];
	/** Time until the back end goes, in milliseconds. */
	readonly noticeMs: number;
	/** Requests that other back ends can import now. */
	readonly room: number;
	/** Time to move the cache of one token, in milliseconds. */
	readonly transferMsPerToken: number;
	/** Time to recompute one token, in milliseconds. */
	readonly recomputeMsPerToken: number;
	readonly policy: ReclaimPolicy;
};

/** The choice for one request. */
export type ReclaimDecision = {
	readonly requestId: string;
	readonly choice: ReclaimChoice;
};

const transferSetupMs = 20;
const finishMargin = 1.2;
const safetyMs = 300;

/**
Chooses for each request, the longest contexts first, as long as the notice and the room last. Moves come in the order
in which they are to be made, one after the other.

@example
```
const decisions = planReclaim({requests, noticeMs: 3000, room: 8, transferMsPerToken: 0.05, recomputeMsPerToken: 0.5, policy});
```
*/
export function planReclaim(reclaim: Reclaim): readonly ReclaimDecision[] {
	let remainingMs = reclaim.noticeMs - safetyMs;
	let {room} = reclaim;
	return reclaim.requests
		.toSorted((left, right) => right.contextTokens - left.contextTokens)
		.map(request => {
			const {requestId} = request;
			if (request.remainingTokens * request.tokenMs * finishMargin <= reclaim.noticeMs - safetyMs) {
				return {requestId, choice: reclaimChoices.finish};
			}

			const moveMs = getMoveMs(request, reclaim);
			if (room < 1 || moveMs > remainingMs || !isMoveWorthwhile(request, moveMs, reclaim)) {
				return {requestId, choice: reclaimChoices.resume};
			}

			room -= 1;
			remainingMs -= moveMs;
			return {requestId, choice: reclaimChoices.move};
		});
}

function getMoveMs({contextTokens}: ReclaimedRequest, {transferMsPerToken}: Reclaim): number {
	return transferSetupMs + (contextTokens * transferMsPerToken);
}

/** Weighs the time of a transfer, by cost, against the recomputed tokens, by cost and by their own weight. */
function isMoveWorthwhile({contextTokens}: ReclaimedRequest, moveMs: number, {policy, recomputeMsPerToken}: Reclaim): boolean {
	const recomputeMs = contextTokens * recomputeMsPerToken;
	return moveMs * policy.costWeight < recomputeMs * (policy.costWeight + policy.recomputeWeight);
}
