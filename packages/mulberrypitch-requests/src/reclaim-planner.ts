/** Plans the reclaim of a back end: whether each of its requests finishes there, moves with its KV cache, or resumes from its tokens. */
import type {ReclaimPolicy} from '@mulberrypitch/config/types';

/** Ways to handle a request on a back end that is being reclaimed. */
export const reclaimChoices = {
	/** The request finishes on the back end within the notice. */
	finish: 'finish',
	/** The KV cache is transferred to another back end, which recomputes nothing. */
	move: 'move',
	/** Another back end recomputes the prompt and the tokens generated so far. */
	resume: 'resume',
} as const;

/** One of `reclaimChoices`. */
export type ReclaimChoice = typeof reclaimChoices[keyof typeof reclaimChoices];

/** Progress of a request on a back end that is being reclaimed. */
export type ReclaimedRequest = {
	readonly requestId: string;
	/** Number of tokens of prompt and answer that another back end would have to recompute. */
	readonly contextTokens: number;
	/** Upper bound of the tokens that are still to be generated. */
	readonly remainingTokens: number;
	/** Mean time between tokens so far, in milliseconds. */
	readonly tokenMs: number;
};

/** Input of the planner for one reclaim. */
export type Reclaim = {
	readonly requests: readonly ReclaimedRequest[];
	/** Notice: the time until the back end is reclaimed, in milliseconds. */
	readonly noticeMs: number;
	/** Number of requests whose KV caches other back ends can import now. */
	readonly room: number;
	/** Time to transfer the KV cache of one token, in milliseconds. */
	readonly transferMsPerToken: number;
	/** Time to recompute one token, in milliseconds. */
	readonly recomputeMsPerToken: number;
	readonly policy: ReclaimPolicy;
};

/** The planned choice for one request. */
export type ReclaimDecision = {
	readonly requestId: string;
	readonly choice: ReclaimChoice;
};

/** Fixed part of the time of each transfer, in milliseconds. */
const transferSetupMs = 20;
/** Factor by which the estimated time to finish a request is increased. */
const finishSafetyFactor = 1.2;
/** Time at the end of the notice that plans don't use, in milliseconds. */
const noticeMarginMs = 300;

/**
Returns a decision for each request. Requests with the longest contexts are planned first, and moves are planned while the notice and the
import capacity (`room`) suffice. Moves are returned in the order in which they are to be made, one after the other.

@example
```
const decisions = planReclaim({requests, noticeMs: 3000, room: 8, transferMsPerToken: 0.05, recomputeMsPerToken: 0.5, policy});
```
*/
export function planReclaim(reclaim: Reclaim): readonly ReclaimDecision[] {
	let remainingMs = reclaim.noticeMs - noticeMarginMs;
	let {room} = reclaim;
	return reclaim.requests
		.toSorted((left, right) => right.contextTokens - left.contextTokens)
		.map(request => {
			const {requestId} = request;
			if (request.remainingTokens * request.tokenMs * finishSafetyFactor <= reclaim.noticeMs - noticeMarginMs) {
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

/**
Reports whether a move costs less than recomputation. The cost of a move is its time times `costWeight`; the cost of recomputation
is its time times the sum of `costWeight` and `recomputeWeight`.
*/
function isMoveWorthwhile({contextTokens}: ReclaimedRequest, moveMs: number, {policy, recomputeMsPerToken}: Reclaim): boolean {
	const recomputeMs = contextTokens * recomputeMsPerToken;
	return moveMs * policy.costWeight < recomputeMs * (policy.costWeight + policy.recomputeWeight);
}
