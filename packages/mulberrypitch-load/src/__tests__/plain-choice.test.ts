/** Short requests from many entry hosts to few back ends with short queues, when entry hosts see each other's requests with a delay. */
import t from 'tap';
import {SeededRandom, type Random} from '@mulberrypitch/lifecycle/random';
import {choosePlainBackend, type Candidate, type SpeedLookup} from '@mulberrypitch/proxy/backend-choice';
import {addEvidence, estimateSpeeds, type Speeds} from '@mulberrypitch/routing/speed-estimate';
import {SpeedObserver} from '@mulberrypitch/routing/speed-observer';
import {EventQueue} from '../event-queue.js';

type Choice = (candidates: readonly Candidate[], random: Random, getSpeed: SpeedLookup) => Candidate | undefined;

/** A period in which the first back end is slow, and how that is known. */
type SlowPeriod = {
	readonly startMs: number;
	readonly endMs: number;
	readonly isLearned: boolean;
};

type Result = {
	/** Shares of the requests that were answered within the target, rejected by a full back end, and refused by the entry host. */
	readonly inTime: number;
	readonly rejected: number;
	readonly refused: number;
	/** Share of the requests in the slow period that went to the slow back end, and of those that were answered within the target. */
	readonly slowShare: number;
	readonly inTimeWhileSlow: number;
};

const never: SlowPeriod = {startMs: Number.POSITIVE_INFINITY, endMs: Number.POSITIVE_INFINITY, isLearned: false};
const slowFactor = 2.5;
const speedIntervalMs = 1000;
const entryCount = 75;
const viewMs = 100;
const slots = 6;
const queueLength = 24;
const meanServiceMs = 68;
const targetMs = 336;
const perSecond = 167;
const durationMs = 20_000;

const chooseLeastLoaded: Choice = (candidates, random) => candidates
	.map(candidate => ({candidate, tieBreak: random.next()}))
	.toSorted((left, right) => left.candidate.load - right.candidate.load || left.tieBreak - right.tieBreak)[0]?.candidate;

/** A back end that runs up to `slots` requests at once and queues up to `queueLength` more. */
class QueueingBackend {
	readonly #queue: EventQueue;
	#running = 0;
	readonly #waiting: Array<() => void> = [];

	constructor(queue: EventQueue) {
		this.#queue = queue;
	}

	/** Runs or queues a request; returns false when the queue is full. */
	run(ms: number, onEnd: () => void): boolean {
		if (this.#running === slots && this.#waiting.length === queueLength) {
			return false;
		}

		const start = () => {
			this.#running += 1;
			this.#queue.add(ms, () => {
				this.#running -= 1;
				onEnd();
				this.#waiting.shift()?.();
			});
		};

		if (this.#running < slots) {
			start();
		} else {
			this.#waiting.push(start);
		}

		return true;
	}
}

function emulate(backendCount: number, choose: Choice, slow = never, rate = perSecond): Result {
	const queue = new EventQueue();
	const traffic = new SeededRandom(1);
	const random = new SeededRandom(2);
	const backends = Array.from({length: backendCount}, () => new QueueingBackend(queue));
	const total = backends.map(() => 0);
	let speeds: Speeds = {};
	const getSpeed: SpeedLookup = id => slow.isLearned ? speeds[id] ?? 1 : 1;
	const entries = Array.from({length: entryCount}, () => ({
		own: backends.map(() => 0), others: backends.map(() => 0), observer: new SpeedObserver({now: () => queue.now, getSpeed}),
	}));
	const counts = {
		asked: 0, inTime: 0, rejected: 0, refused: 0, askedWhileSlow: 0, inTimeWhileSlow: 0, sentToSlow: 0,
	};

	const learnSpeeds = () => {
		queue.add(speedIntervalMs, () => {
			speeds = estimateSpeeds(addEvidence(entries.map(({observer}) => observer.getEvidence())));
			learnSpeeds();
		});
	};

	const refreshView = (entry: typeof entries[number]) => {
		const others = total.map((requests, index) => requests - entry.own[index]!);
		queue.add(viewMs, () => {
			entry.others = others;
			refreshView(entry);
		});
	};

	const send = () => {
		const entry = entries[Math.floor(traffic.next() * entryCount)]!;
		const ms = meanServiceMs * (0.5 + traffic.next());
		const startedAt = queue.now;
		const chosen = choose(backends.map((_, index) => ({
			id: String(index), slots, inFlight: entry.own[index]!, load: entry.own[index]! + entry.others[index]!, pendingTokens: 0, zone: '',
		})), random, getSpeed);
		const isSlow = queue.now >= slow.startMs && queue.now < slow.endMs;
		counts.asked += 1;
		counts.askedWhileSlow += isSlow ? 1 : 0;
		counts.sentToSlow += isSlow && chosen?.id === '0' ? 1 : 0;
		if (chosen === undefined) {
			counts.refused += 1;
			return;
		}

		const index = Number(chosen.id);
		const addLoad = (count: number) => {
			entry.own[index]! += count;
			total[index]! += count;
		};

		addLoad(1);
		const isAccepted = backends[index]!.run(isSlow && index === 0 ? ms * slowFactor : ms, () => {
			addLoad(-1);
			const isInTime = queue.now - startedAt <= targetMs;
			counts.inTime += isInTime ? 1 : 0;
			counts.inTimeWhileSlow += isSlow && isInTime ? 1 : 0;
			entry.observer.record({
				backend: String(index), group: 'commit', work: 0, ms: queue.now - startedAt,
			});
		});
		if (!isAccepted) {
			addLoad(-1);
			counts.rejected += 1;
		}
	};

	const sendAll = () => {
		queue.add(-Math.log(1 - traffic.next()) * 1000 / rate, () => {
			send();
			sendAll();
		});
	};

	for (const entry of entries) {
		queue.add(random.next() * viewMs, () => {
			refreshView(entry);
		});
	}

	learnSpeeds();
	sendAll();
	queue.runUntil(durationMs);
	const {asked, inTime, rejected, refused, askedWhileSlow, sentToSlow, inTimeWhileSlow} = counts;
	return {
		inTime: inTime / asked, rejected: rejected / asked, refused: refused / asked, slowShare: sentToSlow / askedWhileSlow, inTimeWhileSlow: inTimeWhileSlow / askedWhileSlow,
	};
}

await t.test('three back ends at two thirds of their capacity: choosing by own counts answers more in time than by the shared view', async t => {
	const own = emulate(3, choosePlainBackend);
	const shared = emulate(3, chooseLeastLoaded);
	t.comment(`in time ${own.inTime.toFixed(3)}, by the shared view ${shared.inTime.toFixed(3)}`);
	t.ok(own.inTime > 0.98);
	t.ok(own.inTime > shared.inTime);
	t.equal(own.rejected, 0);
});

await t.test('one overloaded back end: load shedding at the entry hosts answers more in time than a full queue', async t => {
	const bounded = emulate(1, choosePlainBackend);
	const unbounded = emulate(1, chooseLeastLoaded);
	t.comment(`in time ${bounded.inTime.toFixed(3)}, without a bound ${unbounded.inTime.toFixed(3)}`);
	t.ok(bounded.inTime > unbounded.inTime);
	t.ok(bounded.inTime > 0.85 * slots * 1000 / meanServiceMs / perSecond, 'most of the capacity of one back end');
	t.ok(bounded.refused > bounded.rejected);
});

await t.test('one of three back ends is 2.5 times as slow for a while: it gets less as long as that lasts, and more is answered in time', async t => {
	const period = {startMs: 5000, endMs: 15_000};
	for (const rate of [90, 125, 167]) {
		const learned = emulate(3, choosePlainBackend, {...period, isLearned: true}, rate);
		const unknown = emulate(3, choosePlainBackend, {...period, isLearned: false}, rate);
		const [text, unknownText] = [learned, unknown].map(({inTimeWhileSlow, slowShare}) => `${inTimeWhileSlow.toFixed(3)} in time, ${slowShare.toFixed(3)} to the slow one`);
		t.comment(`${rate}/s: ${text}; not learned: ${unknownText}`);
		t.ok(learned.inTimeWhileSlow > unknown.inTimeWhileSlow);
		t.ok(learned.slowShare > 0.02, 'not ejected');
		t.ok(learned.slowShare < 0.6 * unknown.slowShare);
	}
});
