/** An entry that counts the answers of both versions and reports them late. */
import type {Random} from '@mulberrypitch/lifecycle/random';
import type {RouteEvidence} from '@mulberrypitch/serving/rollout-messages';

type Times = {count: number; sum: number; squares: number};
type Sums = {sent: number; succeeded: number; failed: number; unanswered: number; first: Times; pause: Times};
type Sides = {target: Sums; others: Sums};
/** What an entry counts, the share on which it acts, and what it reported last. */
export type SyntheticEntry = {
	routes: Map<string, Sides>;
	running: number;
	share: number;
	reported: RouteEvidence[];
	reportedRunning: number;
};

/** Creates an entry that has seen nothing. */
export function createEntry(): SyntheticEntry {
	return {
		routes: new Map(), running: 0, share: 0, reported: [], reportedRunning: 0,
	};
}

/** Returns the sums of a route, which can be added to. */
export function getSums(entry: SyntheticEntry, route: string): Sides {
	const sums = entry.routes.get(route) ?? {target: createSums(), others: createSums()};
	entry.routes.set(route, sums);
	return sums;
}

/** Reports what the entry has counted. */
export function report(entry: SyntheticEntry) {
	entry.reported = structuredClone([...entry.routes].map(([route, {target, others}]) => ({route, target, others})));
	entry.reportedRunning = entry.running;
}

/** Adds a time in milliseconds. */
export function addTime(times: Times, ms: number) {
	times.count += 1;
	times.sum += Math.log(ms);
	times.squares += Math.log(ms) ** 2;
}

function createSums(): Sums {
	const createTimes = (): Times => ({count: 0, sum: 0, squares: 0});
	return {
		sent: 0, succeeded: 0, failed: 0, unanswered: 0, first: createTimes(), pause: createTimes(),
	};
}

/** Picks one of the routes by their parts. */
export function pick<T extends {readonly part: number}>(routes: readonly T[], random: Random): T {
	let rest = random.next();
	return routes.find(({part}) => {
		rest -= part;
		return rest < 0;
	}) ?? routes[0]!;
}

/** Returns a number of the standard normal distribution. */
export function getNormal(random: Random): number {
	return Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
}
