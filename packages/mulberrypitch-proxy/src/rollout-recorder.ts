/** Records what becomes of the requests of a service during a roll-out, by route and by side, as cumulative sums. */
import type {AnswerSums, RolloutEvidence, RouteEvidence} from '@mulberrypitch/serving/rollout-messages';
import type {AttemptOutcome} from './attempt-outcome.js';

/** Maximum number of routes that are reported by name. */
const maxRoutes = 16;
/** Shortest time in milliseconds that is told apart. */
const minTimeMs = 1;
/** Number of decimals of reported sums, which keeps a report of one route below 0.4 KB. */
const decimals = 3;
/** Time in milliseconds before the deadline from which on a caller that leaves has given up: its own timer started before the request arrived. */
const callerTimeoutMarginMs = 100;
/** Lowest status that reports a failure of the back end. */
const firstFailureStatus = 500;

type MutableTimes = {
	count: number;
	sum: number;
	squares: number;
};

type MutableSums = {
	sent: number;
	succeeded: number;
	failed: number;
	unanswered: number;
	readonly first: MutableTimes;
	readonly pause: MutableTimes;
};

type RouteSums = {
	readonly target: MutableSums;
	readonly others: MutableSums;
};

/** A send that is recorded. */
export type RecordedSend = {
	readonly route: string;
	/** Software version of the back end; absent if it is unknown. */
	readonly version: string | undefined;
	/** Monotonic time in milliseconds. */
	readonly sentAt: number;
	/** Monotonic time in milliseconds by which the caller gets its final response. */
	readonly deadlineAt: number;
};

/** Records one send, from when it is sent to its outcome. */
export class AttemptRecorder {
	readonly #send: RecordedSend;
	readonly #sums: MutableSums;
	#lastAt: number | undefined;
	#longestPauseMs: number | undefined;

	constructor(send: RecordedSend, sums: MutableSums) {
		this.#send = send;
		this.#sums = sums;
		sums.sent += 1;
	}

	/** Records that a part of the response is written to the caller at a monotonic time in milliseconds. */
	recordPart(at: number): void {
		if (this.#lastAt === undefined) {
			addTime(this.#sums.first, at - this.#send.sentAt);
		} else {
			this.#longestPauseMs = Math.max(this.#longestPauseMs ?? 0, at - this.#lastAt);
		}

		this.#lastAt = at;
	}

	/** Records the outcome, at a monotonic time in milliseconds. */
	end(outcome: AttemptOutcome, at: number): void {
		const isSuccess = isSucceeded(outcome);
		const isFailure = isFailed(outcome) || (outcome.kind === 'abandoned' && at >= this.#send.deadlineAt - callerTimeoutMarginMs);
		this.#sums.succeeded += isSuccess ? 1 : 0;
		this.#sums.failed += isFailure ? 1 : 0;
		this.#sums.unanswered += this.#lastAt === undefined ? 1 : 0;
		if (this.#lastAt !== undefined && (outcome.kind === 'abandoned' || outcome.kind === 'timeout')) {
			// The pause in which the stream ended lasted at least until then.
			this.#longestPauseMs = Math.max(this.#longestPauseMs ?? 0, at - this.#lastAt);
		}

		if (this.#longestPauseMs !== undefined) {
			addTime(this.#sums.pause, this.#longestPauseMs);
		}
	}
}

/** Sums up the sends of one roll-out since the process learned of it. */
export class RolloutRecorder {
	/** Identifier of the roll-out. */
	readonly rollout: number;
	readonly #target: string;
	readonly #routes = new Map<string, RouteSums>();
	/** Routes that are reported by name. They stay, since sums that go down count as lost evidence. */
	readonly #listed = new Set<string>();
	#requests = 0;

	/** `rollout` identifies the roll-out to the version `target`. */
	constructor(rollout: number, target: string) {
		this.rollout = rollout;
		this.#target = target;
	}

	/** Counts a request that has arrived. */
	addRequest(): void {
		this.#requests += 1;
	}

	/** Counts a request that is sent to a back end, and returns the recorder of that send. */
	begin(send: RecordedSend): AttemptRecorder {
		const sums = this.#routes.get(send.route) ?? {target: createSums(), others: createSums()};
		this.#routes.set(send.route, sums);
		return new AttemptRecorder(send, send.version === this.#target ? sums.target : sums.others);
	}

	/** Returns the sums so far. */
	report(state: Pick<RolloutEvidence, 'revision' | 'othersRunning'>): RolloutEvidence {
		return {
			rollout: this.rollout, ...state, requests: this.#requests, routes: this.#reportRoutes(),
		};
	}

	#reportRoutes(): readonly RouteEvidence[] {
		this.#fillList();
		const listed = [...this.#routes].filter(([route]) => this.#listed.has(route));
		const rest = [...this.#routes].filter(([route]) => !this.#listed.has(route)).map(([, sums]) => sums);
		return [
			...listed.map(([route, {target, others}]) => ({route, target: addSums([target]), others: addSums([others])})),
			...(rest.length > 0 ? [{route: '', target: addSums(rest.map(({target}) => target)), others: addSums(rest.map(({others}) => others))}] : []),
		];
	}

	/** Lists routes that were not reported before, those with most traffic first, while places are free. */
	#fillList(): void {
		if (this.#listed.size === maxRoutes) {
			return;
		}

		const unlisted = [...this.#routes].filter(([route]) => !this.#listed.has(route)).toSorted(([, left], [, right]) => countSent(right) - countSent(left));
		for (const [route] of unlisted.slice(0, maxRoutes - this.#listed.size)) {
			this.#listed.add(route);
		}
	}
}

function isSucceeded(outcome: AttemptOutcome): boolean {
	return outcome.kind === 'delivered' || (outcome.kind === 'failed' && outcome.answer.head.status < firstFailureStatus);
}

/** Reports whether the back end ran the request and failed, broke off or did not answer in time. */
function isFailed(outcome: AttemptOutcome): boolean {
	return outcome.kind === 'failed' ? outcome.answer.head.status >= firstFailureStatus : outcome.kind === 'unknown' || outcome.kind === 'cut' || outcome.kind === 'timeout';
}

function countSent({target, others}: RouteSums): number {
	return target.sent + others.sent;
}

function createSums(): MutableSums {
	return {
		sent: 0, succeeded: 0, failed: 0, unanswered: 0, first: {count: 0, sum: 0, squares: 0}, pause: {count: 0, sum: 0, squares: 0},
	};
}

function addTime(times: MutableTimes, ms: number): void {
	const logarithm = Math.log(Math.max(minTimeMs, ms));
	times.count += 1;
	times.sum += logarithm;
	times.squares += logarithm ** 2;
}

function addSums(all: readonly MutableSums[]): AnswerSums {
	const add = (read: (sums: MutableSums) => number) => Number(all.reduce((total, sums) => total + read(sums), 0).toFixed(decimals));
	const addTimes = (read: (sums: MutableSums) => MutableTimes) => ({
		count: add(sums => read(sums).count), sum: add(sums => read(sums).sum), squares: add(sums => read(sums).squares),
	});
	return {
		sent: add(({sent}) => sent),
		succeeded: add(({succeeded}) => succeeded),
		failed: add(({failed}) => failed),
		unanswered: add(({unanswered}) => unanswered),
		first: addTimes(({first}) => first),
		pause: addTimes(({pause}) => pause),
	};
}
