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
	/** Number of reports whose sums were smaller than those which the same incarnation had reported before. */
	readonly losses: number;
};

/** Keeps the last evidence of each incarnation for as long as its roll-out is running. */
export class RolloutEvidenceStore {
	/** By name and incarnation of the entry. */
	readonly #reports = new Map<string, Report>();
	/** By identifier of the roll-out. */
	readonly #losses = new Map<number, number>();

	/** Stores the evidence of a status, which replaces that of an earlier status of the same incarnation. */
	merge({name, incarnation, upMs, rollouts = []}: EntryStatus): void {
		const key = `${name} ${incarnation}`;
		const known = this.#reports.get(key);
		if (rollouts.length > 0 && upMs >= (known?.upMs ?? 0)) {
			for (const evidence of rollouts) {
				const earlier = known?.evidence.find(({rollout}) => rollout === evidence.rollout);
				if (earlier !== undefined && isReduced(evidence, earlier)) {
					this.#losses.set(evidence.rollout, (this.#losses.get(evidence.rollout) ?? 0) + 1);
				}
			}

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

		for (const rollout of this.#losses.keys()) {
			if (!isKept(rollout)) {
				this.#losses.delete(rollout);
			}
		}
	}

	/** Returns what an incarnation reported last of a roll-out, which its last status need not repeat. */
	get({name, incarnation}: EntryStatus, rollout: number): RolloutEvidence | undefined {
		return this.#reports.get(`${name} ${incarnation}`)?.evidence.find(evidence => evidence.rollout === rollout);
	}

	/** Returns the sums for a roll-out. */
	sum(rollout: number): EvidenceTotals {
		const sums = new Map<string, {readonly target: MutableSums; readonly others: MutableSums}>();
		let requests = 0;
		for (const {evidence: listed} of this.#reports.values()) {
			for (const evidence of listed) {
				if (evidence.rollout !== rollout) {
					continue;
				}

				requests += evidence.requests;
				for (const {route, target, others} of evidence.routes) {
					let sum = sums.get(route);
					if (sum === undefined) {
						sum = {target: new MutableSums(), others: new MutableSums()};
						sums.set(route, sum);
					}

					sum.target.add(target);
					sum.others.add(others);
				}
			}
		}

		const routes = [...sums].map(([route, {target, others}]) => ({route, target: target.capture(), others: others.capture()}));
		return {requests, routes, losses: this.#losses.get(rollout) ?? 0};
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
	const sum = new MutableSums();
	for (const route of routes) {
		sum.add(route[side]);
	}

	return sum.capture();
}

/** A sum of answers. It changes in place, since hundreds of entries with many routes are summed several times a second. */
class MutableSums {
	#sent = 0;
	#succeeded = 0;
	#failed = 0;
	#unanswered = 0;
	readonly #first = {count: 0, sum: 0, squares: 0};
	readonly #pause = {count: 0, sum: 0, squares: 0};

	add({sent, succeeded, failed, unanswered = failed, first, pause}: AnswerSums): void {
		this.#sent += sent;
		this.#succeeded += succeeded;
		this.#failed += failed;
		this.#unanswered += unanswered;
		addTimes(this.#first, first);
		addTimes(this.#pause, pause);
	}

	capture(): AnswerSums {
		return {
			sent: this.#sent, succeeded: this.#succeeded, failed: this.#failed, unanswered: this.#unanswered, first: this.#first, pause: this.#pause,
		};
	}
}

/** Reports whether sums that a process reported before are missing from its later report. */
function isReduced(later: RolloutEvidence, earlier: RolloutEvidence): boolean {
	return earlier.routes.some(({route, target, others}) => {
		const now = later.routes.find(listed => listed.route === route);
		return now === undefined || now.target.sent < target.sent || now.others.sent < others.sent;
	});
}

function addTimes(total: {count: number; sum: number; squares: number}, added: LogTimeSums): void {
	total.count += added.count;
	total.sum += added.sum;
	total.squares += added.squares;
}
