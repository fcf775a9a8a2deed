/**
 * Emulates the entry hosts of a deployment in front of model engines, on virtual time, with prompts of all sizes and with a
 * delayed view of the other entry hosts' requests. A run that takes minutes on real processes takes seconds.
 */
import {SeededRandom, type Random} from '@mulberrypitch/lifecycle/random';
import {
	largePromptTokens, type Candidate, type PlacedPrompt, type SpeedLookup,
} from '@mulberrypitch/proxy/backend-choice';
import {addEvidence, estimateSpeeds, type Speeds} from '@mulberrypitch/routing/speed-estimate';
import {SpeedObserver} from '@mulberrypitch/routing/speed-observer';
import {EmulatedEngine, type SharedPart} from './emulated-engine.js';
import {EventQueue} from './event-queue.js';
import type {SizeDistribution, PromptKind, ServingMix} from './serving-mixes.js';

/** Returns the engine to send a prompt to, or nothing when all are full. */
export type EngineChooser = (candidates: readonly Candidate[], prompt: PlacedPrompt, random: Random, getSpeed: SpeedLookup) => Candidate | undefined;

/** What entry hosts know of the speeds of engines: nothing, what they learn, or all. */
export const speedKnowledge = {none: 'none', learned: 'learned', whole: 'whole'} as const;
export type SpeedKnowledge = typeof speedKnowledge[keyof typeof speedKnowledge];

/** Settings of one run. */
export type Emulation = {
	readonly mix: ServingMix;
	readonly engines: number;
	/** Request rate as a multiple of the rate of the mix. */
	readonly load: number;
	/** Interval at which an entry host refreshes its view of the others' requests, and the age of a view when it arrives. */
	readonly viewMs: number;
	readonly seed: number;
	readonly durationMs: number;
	readonly choose: EngineChooser;
	/** Speeds of the engines, repeated in turn; all are of speed one by default. */
	readonly speeds?: readonly number[];
	/** Nothing by default. */
	readonly knowledge?: SpeedKnowledge;
};

/** Shares of the requests of one kind. */
export type KindShares = {
	readonly inTime: number;
	readonly late: number;
	readonly refused: number;
};

/** Measurements of a run after its warm-up. */
export type EmulationResult = {
	/** Share of the total worth of the requests that was earned; late answers earn a fraction, refused requests nothing. */
	readonly credit: number;
	/** Share of the worth that was earned with the largest tenth of the requests of the mix's first kind. */
	readonly largestPromptCredit: number;
	/** Share of the requests that were refused because all engines were full. */
	readonly refusedShare: number;
	/** Share of the finished requests whose first event or a pause exceeded its target, by kind. */
	readonly lateShares: Readonly<Record<string, number>>;
	/** What became of the ended and refused requests, by kind. */
	readonly kinds: Readonly<Record<string, KindShares>>;
	/** The speeds that differ from one, as the entry hosts last learned them, by engine. */
	readonly learnedSpeeds: Speeds;
};

/** The worth that a request could earn and did earn. */
type Earning = {
	readonly size: number;
	readonly possible: number;
	readonly earned: number;
};

/** Requests at one engine. */
type EngineLoad = {
	requests: number;
	/** Prompt tokens that wait for prefill. */
	pendingTokens: number;
};

type Arrival = {
	readonly kind: PromptKind;
	readonly entry: EmulatedEntry;
	readonly parts: readonly SharedPart[];
	readonly promptTokens: number;
	readonly answerTokens: number;
	/** Weighted sum of the tokens of prompt and answer. */
	readonly size: number;
	readonly worth: number;
};

/** Interval at which entry hosts report what they observed of the speeds of engines. */
const speedIntervalMs = 1000;
const warmUpMs = 4000;
/** One-way delay between an entry host and an engine. */
const linkDelayMs = 2;
/** Mean number of requests in a burst. */
const meanBurstRequests = 3;
/** Mean delay of a request after the start of its burst. */
const meanBurstDelayMs = 20;
/** Worth of a late answer, as a share of the worth of a timely one. */
const lateWorthShare = 0.1;
/** Share of a request's worth that doesn't depend on its size; the rest is proportional to its size relative to the mean. */
const fixedWorthShare = 0.3;
/** Largest worth of a request, as a multiple of the worth of its kind. */
const maxWorthFactor = 4;
/** Weight of an answer token relative to a prompt token in the size of a request. */
const answerWeight = 10;
/** Share of the requests that counts as the largest. */
const largestPromptShare = 0.1;
/** Share of the other entry hosts' pending prompt tokens that is still pending when the view arrives. */
const stillPendingShare = 0.5;

/**
Runs one emulation and returns its measurements.

@example
```
const {credit} = emulateServing({mix: servingMixes.chroma, engines: 5, load: 1, viewMs: 100, seed: 1, durationMs: 30_000, choose: chooseEngine});
```
*/
export function emulateServing(emulation: Emulation): EmulationResult {
	return new Emulator(emulation).run();
}

class EmulatedEntry {
	/** Load of this entry host by engine. */
	readonly ownLoads: readonly EngineLoad[];
	/** Load of the other entry hosts by engine, as of the last view. */
	otherLoads: readonly EngineLoad[];
	readonly observer: SpeedObserver;

	constructor(engines: number, observer: SpeedObserver) {
		this.ownLoads = createEngineLoads(engines);
		this.otherLoads = createEngineLoads(engines);
		this.observer = observer;
	}
}

class Emulator {
	readonly #emulation: Emulation;
	readonly #queue = new EventQueue();
	/** Random numbers of the traffic. Choosers draw from another sequence, so that each of them gets the same traffic. */
	readonly #trafficRandom: Random;
	readonly #choiceRandom: Random;
	readonly #engines: readonly EmulatedEngine[];
	readonly #entries: readonly EmulatedEntry[];
	/** Load of all entry hosts by engine. */
	readonly #totalLoads: readonly EngineLoad[];
	readonly #partTokens = new Map<string, number>();
	readonly #ended: Record<string, number> = {};
	readonly #late: Record<string, number> = {};
	readonly #refusedByKind: Record<string, number> = {};
	#learnedSpeeds: Speeds = {};
	#requests = 0;
	#refused = 0;
	readonly #earnings: Record<string, Earning[]> = {};

	constructor(emulation: Emulation) {
		const {mix, engines, seed, speeds = [1]} = emulation;
		this.#emulation = emulation;
		this.#trafficRandom = new SeededRandom(seed);
		this.#choiceRandom = new SeededRandom(seed + 1);
		this.#engines = Array.from({length: engines}, (_, index) => new EmulatedEngine(this.#queue, mix.engine, speeds[index % speeds.length]));
		this.#entries = Array.from({length: mix.entries}, () => new EmulatedEntry(engines, new SpeedObserver({
			now: () => this.#queue.now, getSpeed: id => this.#learnedSpeeds[id] ?? 1,
		})));
		this.#totalLoads = createEngineLoads(engines);
	}

	run(): EmulationResult {
		const {mix, durationMs, viewMs} = this.#emulation;
		for (const kind of mix.kinds) {
			this.#sendBursts(kind);
		}

		for (const entry of this.#entries) {
			this.#queue.add(this.#choiceRandom.next() * viewMs, () => {
				this.#refreshView(entry);
			});
		}

		if (this.#emulation.knowledge === speedKnowledge.learned) {
			this.#learnSpeeds();
		}

		this.#queue.runUntil(durationMs);
		const earningsBySize = (this.#earnings[mix.kinds[0]!.name] ?? []).toSorted((left, right) => right.size - left.size);
		return {
			credit: getCredit(Object.values(this.#earnings).flat()),
			largestPromptCredit: getCredit(earningsBySize.slice(0, Math.ceil(earningsBySize.length * largestPromptShare))),
			refusedShare: this.#refused / this.#requests,
			lateShares: Object.fromEntries(mix.kinds.map(({name}) => [name, (this.#late[name] ?? 0) / Math.max(1, this.#ended[name] ?? 0)])),
			kinds: Object.fromEntries(mix.kinds.map(({name}) => [name, this.#getShares(name)])),
			learnedSpeeds: this.#learnedSpeeds,
		};
	}

	#getShares(kind: string): KindShares {
		const [ended, late, refused] = [this.#ended[kind] ?? 0, this.#late[kind] ?? 0, this.#refusedByKind[kind] ?? 0];
		const all = Math.max(1, ended + refused);
		return {inTime: (ended - late) / all, late: late / all, refused: refused / all};
	}

	/** Collects the evidence of all entry hosts, delivers the speeds derived from it after `viewMs`, and repeats. */
	#learnSpeeds(): void {
		this.#queue.add(speedIntervalMs, () => {
			const speeds = estimateSpeeds(addEvidence(this.#entries.map(({observer}) => observer.getEvidence())));
			this.#queue.add(this.#emulation.viewMs, () => {
				this.#learnedSpeeds = speeds;
			});
			this.#learnSpeeds();
		});
	}

	#getSpeed(id: string): number {
		const {speeds = [1], knowledge = speedKnowledge.none} = this.#emulation;
		if (knowledge === speedKnowledge.none) {
			return 1;
		}

		return knowledge === speedKnowledge.whole ? speeds[Number(id) % speeds.length]! : this.#learnedSpeeds[id] ?? 1;
	}

	/** Captures the load of the other entry hosts, delivers it to an entry host after `viewMs`, and repeats. */
	#refreshView(entry: EmulatedEntry): void {
		const others = this.#totalLoads.map((load, index) => subtract(load, entry.ownLoads[index]!));
		this.#queue.add(this.#emulation.viewMs, () => {
			entry.otherLoads = others;
			this.#refreshView(entry);
		});
	}

	#sendBursts(kind: PromptKind): void {
		const {load} = this.#emulation;
		this.#queue.add(this.#drawExponential(meanBurstRequests * 1000 / (kind.perSecond * load)), () => {
			const count = 1 + Math.round(this.#drawExponential(meanBurstRequests - 1));
			for (let index = 0; index < count; index += 1) {
				this.#queue.add(this.#drawExponential(meanBurstDelayMs), () => {
					this.#send(this.#drawArrival(kind));
				});
			}

			this.#sendBursts(kind);
		});
	}

	#send(arrival: Arrival): void {
		const {entry, kind, parts, promptTokens, answerTokens} = arrival;
		const sharedTokens = parts.reduce((sum, {tokens}) => sum + tokens, 0);
		const chosen = this.#emulation.choose(this.#getCandidates(entry), {
			tokens: promptTokens, sharedTokens, sharedPart: parts.at(-1)!.id, zone: '',
		}, this.#choiceRandom, id => this.#getSpeed(id));
		this.#recordChoice(arrival, chosen === undefined);
		if (chosen === undefined) {
			return;
		}

		const index = Number(chosen.id);
		const addLoad = (requests: number, tokens: number) => {
			for (const load of [entry.ownLoads[index]!, this.#totalLoads[index]!]) {
				load.requests += requests;
				load.pendingTokens += tokens;
			}
		};

		const pendingTokens = promptTokens - (sharedTokens / 2);
		const startedAt = this.#queue.now;
		let firstMs = 0;
		addLoad(1, pendingTokens);
		// Large prompts run at engines of their own, where they slow each other down.
		const group = promptTokens > largePromptTokens ? `${kind.name} large` : kind.name;
		const {pendingTokens: work, load: startLoad} = this.#getCandidate(entry, index);
		this.#queue.add(linkDelayMs, () => {
			this.#engines[index]!.run({
				promptTokens,
				parts,
				answerTokens,
				priority: kind.priority,
				onFirstToken: () => {
					firstMs = this.#queue.now + linkDelayMs - startedAt;
					addLoad(0, -pendingTokens);
					entry.observer.record({
						backend: chosen.id, group: `${group} first event`, work, ms: firstMs,
					});
				},
				onEnd: ({longestMs, meanMs}) => {
					if (meanMs !== undefined) {
						entry.observer.record({
							backend: chosen.id, group: `${group} pause`, work: (startLoad + this.#getCandidate(entry, index).load) / 2, ms: meanMs,
						});
					}

					addLoad(-1, 0);
					this.#recordEnd(arrival, startedAt, firstMs > kind.targetMs || longestMs > kind.targetPauseMs);
				},
			});
		});
	}

	#getCandidates(entry: EmulatedEntry): readonly Candidate[] {
		return entry.ownLoads.map((_, index) => this.#getCandidate(entry, index));
	}

	#getCandidate(entry: EmulatedEntry, index: number): Candidate {
		const {requests, pendingTokens} = entry.ownLoads[index]!;
		const others = entry.otherLoads[index]!;
		return {
			id: String(index),
			slots: this.#emulation.mix.engine.slots,
			inFlight: requests,
			load: requests + others.requests,
			pendingTokens: pendingTokens + (stillPendingShare * others.pendingTokens),
			zone: '',
		};
	}

	#recordChoice(arrival: Arrival, isRefused: boolean): void {
		if (this.#queue.now < warmUpMs) {
			return;
		}

		this.#requests += 1;
		if (isRefused) {
			this.#refused += 1;
			this.#refusedByKind[arrival.kind.name] = (this.#refusedByKind[arrival.kind.name] ?? 0) + 1;
			this.#recordEarning(arrival, 0);
		}
	}

	#recordEnd(arrival: Arrival, startedAt: number, isLate: boolean): void {
		if (startedAt < warmUpMs) {
			return;
		}

		const {name} = arrival.kind;
		this.#ended[name] = (this.#ended[name] ?? 0) + 1;
		this.#late[name] = (this.#late[name] ?? 0) + (isLate ? 1 : 0);
		this.#recordEarning(arrival, isLate ? lateWorthShare : 1);
	}

	#recordEarning({kind, worth, size}: Arrival, share: number): void {
		this.#earnings[kind.name] ??= [];
		this.#earnings[kind.name]!.push({size, possible: worth, earned: worth * share});
	}

	#drawArrival(kind: PromptKind): Arrival {
		const parts = kind.shared.map(({count, ...size}, level) => {
			const id = `${kind.name}-${level}-${Math.floor(count * this.#trafficRandom.next())}`;
			const tokens = this.#partTokens.get(id) ?? this.#drawSize(size);
			this.#partTokens.set(id, tokens);
			return {id, tokens};
		});
		const promptTokens = this.#drawSize(kind.own) + parts.reduce((sum, {tokens}) => sum + tokens, 0);
		const answerTokens = this.#drawSize(kind.answer);
		const size = promptTokens + (answerWeight * answerTokens);
		return {
			kind,
			entry: this.#entries[Math.floor(this.#trafficRandom.next() * this.#entries.length)]!,
			parts,
			promptTokens,
			answerTokens,
			size,
			worth: kind.worth * Math.min(maxWorthFactor, fixedWorthShare + ((1 - fixedWorthShare) * size / getMeanSize(kind))),
		};
	}

	/** Returns a log-normal size, rounded and limited to between one and the maximum. */
	#drawSize({mean, spread, max}: SizeDistribution): number {
		const normal = Math.sqrt(-2 * Math.log(1 - this.#trafficRandom.next())) * Math.cos(2 * Math.PI * this.#trafficRandom.next());
		return Math.round(Math.max(1, Math.min(max, mean * Math.exp((spread * normal) - (spread * spread / 2)))));
	}

	/** Returns an exponentially distributed value with the given mean. */
	#drawExponential(mean: number): number {
		return -mean * Math.log(1 - this.#trafficRandom.next());
	}
}

function getCredit(earnings: readonly Earning[]): number {
	const possible = earnings.reduce((sum, earning) => sum + earning.possible, 0);
	return possible === 0 ? 1 : earnings.reduce((sum, earning) => sum + earning.earned, 0) / possible;
}

function createEngineLoads(engines: number): EngineLoad[] {
	return Array.from({length: engines}, () => ({requests: 0, pendingTokens: 0}));
}

function subtract(all: EngineLoad, own: EngineLoad): EngineLoad {
	return {
		requests: all.requests - own.requests, pendingTokens: all.pendingTokens - own.pendingTokens,
	};
}

function getMeanSize({shared, own, answer}: PromptKind): number {
	return own.mean + shared.reduce((sum, {mean}) => sum + mean, 0) + (answerWeight * answer.mean);
}
