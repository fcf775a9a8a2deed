/** Sums what entries have observed of roll-outs, including incarnations of entries that have ended. */
import type {
	AnswerSums, LogTimeSums, RolloutEvidence, RouteEvidence,
} from '@mulberrypitch/serving/rollout-messages';
import type {EntryStatus} from '@mulberrypitch/serving/view-messages';

/** What one incarnation of an entry reported last. */
type Report = {
	/** Uptime of the process in milliseconds, by which an older status that arrives later is recognized. */
	readonly upMs: number;
	readonly evidence: readonly RolloutEvidence[];
};

/** Sums over all incarnations of all entries. */
export type EvidenceTotals = {
	/** Requests for the service that arrived. */
	readonly requests: number;
	readonly routes: readonly RouteEvidence[];
};

/** Keeps the last evidence of each incarnation for as long as its roll-out is running. */
export class RolloutEvidenceStore {
	/** By name and incarnation of the entry. */
	readonly #reports = new Map<string, Report>();

	/** Stores the evidence of a status, which replaces that of an earlier status of the same incarnation. */
	merge({name, incarnation, upMs, rollouts = []}: EntryStatus): void {
		const key = `${name} ${incarnation}`;
		const known = this.#reports.get(key);
		if (rollouts.length > 0 && upMs >= (known?.upMs ?? 0)) {
			// A status that no longer lists a roll-out must not remove what the incarnation has observed of it.
			const unlisted = (known?.evidence ?? []).filter(({rollout}) => !rollouts.some(listed => listed.rollout === rollout));
			this.#reports.set(key, {upMs, evidence: [...rollouts, ...unlisted]});
		}
	}

	/** Removes the evidence of roll-outs that the predicate does not name. */
	retain(isKept: (rollout: number) => boolean): void {
		for (const [key, report] of this.#reports) {
			const evidence = report.evidence.filter(({rollout}) => isKept(rollout));
			if (evidence.length === 0) {
				this.#reports.delete(key);
			} else {
				this.#reports.set(key, {...report, evidence});
			}
		}
	}

	/** Returns the sums for a roll-out. */
	sum(rollout: number): EvidenceTotals {
		const routes = new Map<string, RouteEvidence>();
		let requests = 0;
		for (const evidence of [...this.#reports.values()].flatMap(report => report.evidence)) {
			if (evidence.rollout !== rollout) {
				continue;
			}

			requests += evidence.requests;
			for (const added of evidence.routes) {
				const known = routes.get(added.route);
				routes.set(added.route, {
					route: added.route, target: addAnswers(known?.target ?? noAnswers, added.target), others: addAnswers(known?.others ?? noAnswers, added.others),
				});
			}
		}

		return {requests, routes: [...routes.values()]};
	}
}

/**
Returns the sum of the answers of one side over all routes.

@example
```
const {sent, failed} = sumRoutes(routes, 'target');
```
*/
export function sumRoutes(routes: readonly RouteEvidence[], side: 'target' | 'others'): AnswerSums {
	let sum = noAnswers;
	for (const route of routes) {
		sum = addAnswers(sum, route[side]);
	}

	return sum;
}

const noTimes: LogTimeSums = {count: 0, sum: 0, squares: 0};
const noAnswers: AnswerSums = {
	sent: 0, succeeded: 0, failed: 0, first: noTimes, pause: noTimes,
};

function addAnswers(left: AnswerSums, right: AnswerSums): AnswerSums {
	return {
		sent: left.sent + right.sent,
		succeeded: left.succeeded + right.succeeded,
		failed: left.failed + right.failed,
		first: addTimes(left.first, right.first),
		pause: addTimes(left.pause, right.pause),
	};
}

function addTimes(left: LogTimeSums, right: LogTimeSums): LogTimeSums {
	return {count: left.count + right.count, sum: left.sum + right.sum, squares: left.squares + right.squares};
}
