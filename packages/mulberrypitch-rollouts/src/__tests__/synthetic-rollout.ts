/** A synthetic source of answers of two versions, seen through entries that report late and act late, on virtual time. */
import {SeededRandom} from '@mulberrypitch/lifecycle/random';
import type {RolloutLimits, RouteEvidence} from '@mulberrypitch/serving/rollout-messages';
import {decideRollout} from '../rollout-decision.js';
import {addEvidence} from '../evidence-sums.js';
import type {SyntheticCase} from './rollout-cases.js';
import {
	addTime, createEntry, getNormal, getSums, pick, report,
} from './synthetic-entry.js';

/** What became of a roll-out. `sentLate` counts requests to the target after `rollbackMs` since its 50th bad answer. */
export type SyntheticResult = {
	readonly state: string; readonly endMs: number; readonly reason: string; readonly sent: number; readonly requests: number;
	readonly badAnswers: number; readonly sentLate: number;
	/** Share that was in force before the end. */
	readonly lastShare: number;
};

export const limits: RolloutLimits = {exposedShare: 0.1, exposedSlack: 50, rollbackMs: 5000};
const entryCount = 8;
const stepMs = 10;
const reportMs = 200;
/** Time in milliseconds after which a request without an answer fails. */
const timeoutMs = 10_000;
const refusalMs = 20;
const fastFailure = 0.2;

/** Runs the case with a seed. */
export function simulateRollout(scenario: SyntheticCase, seed: number): SyntheticResult {
	const random = new SeededRandom(seed);
	const entries = Array.from({length: entryCount}, createEntry);
	const due = new Map<number, Array<() => void>>();
	const schedule = (at: number, action: () => void) => {
		const step = Math.ceil(at / stepMs) * stepMs;
		due.set(step, [...due.get(step) ?? [], action]);
	};

	const {
		durationMs, backends, targetStartMs = 0, refusedPart = 0, laterRatePart = 1, noLeaderMs = 2000,
	} = scenario;
	let [share, shareAt] = [0, 0];
	let routesBefore: RouteEvidence[] = [];
	let [state, endMs, reason] = ['running', durationMs, ''];
	let lastShare = 0;
	let hasLostEvidence = false;
	const counts = {
		sent: 0, requests: 0, badAnswers: 0, sentLate: 0, cold: backends, lateFrom: Infinity,
	};

	/** Draws with a probability. Faults that a case lacks draw no number, so that they don't change its runs. */
	const isHit = (probability = 0) => probability > 0 && random.next() < probability;

	const send = (now: number) => {
		counts.requests += 1;
		if (isHit(refusedPart)) {
			return;
		}

		const entry = entries[Math.floor(random.next() * entryCount)]!;
		const route = pick(scenario.routes, random);
		const isTarget = now >= targetStartMs && random.next() < entry.share;
		const fault = scenario.faults?.({
			at: now, route: route.name, share: entry.share, isTarget,
		}) ?? {};
		const side = getSums(entry, route.name)[isTarget ? 'target' : 'others'];
		const isFaulty = random.next() < (fault.failed ?? 0);
		const isHanging = isHit(fault.hangs);
		const isFailed = isFaulty || isHanging || random.next() < route.failedPart;
		const isSlow = random.next() < (fault.slow ?? 0);
		let timeMs = route.medianMs * Math.exp(route.spread * getNormal(random)) * (isSlow ? fault.factor! : 1);
		if (isTarget) {
			timeMs *= counts.cold > 0 ? scenario.coldFactor ?? 1 : 1;
			counts.cold -= 1;
			counts.sent += 1;
			counts.sentLate += now > counts.lateFrom ? 1 : 0;
		}

		side.sent += 1;
		if (isHit(fault.refused)) {
			schedule(now + refusalMs, () => {
				side.unanswered += 1;
			});
			return;
		}

		entry.running += isTarget ? 0 : 1;
		const finish = (end: number) => {
			entry.running -= isTarget ? 0 : 1;
			side[isFailed ? 'failed' : 'succeeded'] += 1;
			side.unanswered += isFailed ? 1 : 0;
			counts.badAnswers += isTarget && (isFaulty || isSlow || isHanging) ? 1 : 0;
			counts.lateFrom = counts.badAnswers === 50 ? Math.min(counts.lateFrom, end + limits.rollbackMs) : counts.lateFrom;
		};

		if (isFailed) {
			const failedAt = now + (isHanging ? timeoutMs : timeMs * fastFailure);
			schedule(failedAt, finish.bind(undefined, failedAt));
			return;
		}

		const endAt = now + timeMs + (route.streamMs * (0.5 + random.next()));
		schedule(now + timeMs, addTime.bind(undefined, side.first, timeMs));
		schedule(endAt, () => {
			finish(endAt);
			if (route.streamMs > 0) {
				addTime(side.pause, 80 * Math.exp(0.4 * getNormal(random)) * (isSlow ? fault.factor! : 1));
			}
		});
	};

	const decide = (now: number) => {
		const routes = addEvidence(entries.map(entry => entry.reported));
		const decision = decideRollout({
			durationMs, elapsedMs: now, share, shareAgeMs: now - shareAt, requests: counts.requests, routes, routesBefore,
			othersRunning: entries.reduce((sum, entry) => sum + entry.reportedRunning, 0), isAppliedEverywhere: now - shareAt > 400,
			targetBackends: now >= targetStartMs ? backends : 0, otherBackends: backends, hasLostEvidence,
		}, limits);
		if (decision.kind === 'hold') {
			return;
		}

		[lastShare, hasLostEvidence] = [share, false];
		share = decision.kind === 'setShare' ? decision.share : Number(decision.kind === 'complete');
		[shareAt, routesBefore, reason] = [now, routes, decision.reason];
		if (decision.kind !== 'setShare') {
			[state, endMs] = [decision.kind, now];
		}

		const ordered = share;
		for (const entry of entries) {
			schedule(now + 100 + (200 * random.next()), () => {
				entry.share = ordered;
			});
		}
	};

	let nextRequest = 0;
	for (let now = stepMs; now <= durationMs; now += stepMs) {
		for (const action of due.get(now) ?? []) {
			action();
		}

		due.delete(now);
		for (; nextRequest < now; nextRequest -= Math.log(1 - random.next()) * 1000 / (scenario.rate * (nextRequest > durationMs * 0.4 ? laterRatePart : 1))) {
			send(now);
		}

		for (const [index, entry] of entries.entries()) {
			if (now === scenario.lostEntryAtMs && index === 0) {
				entries[0] = {...createEntry(), share: entry.share};
				hasLostEvidence = true;
			} else if ((now + (index * 30)) % reportMs < stepMs) {
				report(entry);
			}
		}

		const sinceLoss = now - (scenario.noLeaderFromMs ?? Infinity);
		if (now % 100 === 0 && state === 'running' && !(sinceLoss >= 0 && sinceLoss < noLeaderMs)) {
			decide(now);
		}
	}

	return {
		state, endMs, reason, lastShare, ...counts,
	};
}
