/**
 * Emulates the entries of a deployment in front of model engines, on virtual time: prompts of all sizes, and entries that hear
 * late of each other's requests. It tries a choice of engines in seconds that takes minutes on real processes.
 */
import {SeededRandom, type Random} from '@mulberrypitch/lifecycle/random';
import type {Candidate, PlacedPrompt} from '@mulberrypitch/proxy/backend-choice';
import {EmulatedEngine, type SharedPart} from './emulated-engine.js';
import {EventQueue} from './event-queue.js';
import type {DrawnSize, PromptKind, ServingMix} from './serving-mixes.js';

/** Gives the engine to send a prompt to, or nothing when all are full. */
export type EngineChooser = (candidates: readonly Candidate[], prompt: PlacedPrompt, random: Random) => Candidate | undefined;

/** One run. */
export type Emulation = {
	readonly mix: ServingMix;
	readonly engines: number;
	/** Traffic as a multiple of the mix's own. */
	readonly load: number;
	/** Time between two looks of an entry at what the others do. */
	readonly viewMs: number;
	readonly seed: number;
	readonly durationMs: number;
	readonly choose: EngineChooser;
};

/** What a run gave, from the end of its warm-up on. */
export type EmulationResult = {
	/** Worth earned, as a part of the worth asked for. */
	readonly credit: number;
	/** The same of the largest tenth of the first kind. */
	readonly largestCredit: number;
	/** Requests that no engine had a place for, as a part of all. */
	readonly refusedPart: number;
	/** By kind: requests whose first event or a pause was late, as a part of those that ended. */
	readonly lateParts: Readonly<Record<string, number>>;
};

type Earning = {
	readonly size: number;
	readonly owed: number;
	readonly earned: number;
};

type Work = {
	requests: number;
	pendingTokens: number;
};

type Arrival = {
	readonly kind: PromptKind;
	readonly entry: EmulatedEntry;
	readonly parts: readonly SharedPart[];
	readonly promptTokens: number;
	readonly answerTokens: number;
	/** Tokens of prompt and answer, by what they weigh. */
	readonly size: number;
	readonly worth: number;
};

const warmUpMs = 4000;
/** One way between a caller or an entry and an engine. */
const linkMs = 2;
/** Requests that come together, on average. */
const clump = 3;
const clumpMs = 20;
/** Worth of a late answer, as a part of that of one in time. */
const lateWorth = 0.1;
/** Worth of a request: a fixed part, and one that grows with its size against the mean. */
const fixedWorth = 0.3;
const maxWorth = 4;
const answerWeight = 10;
const largestPart = 0.1;
/** Share of the others' waiting prompts that still waits when it becomes known. */
const lateShare = 0.5;

/**
Runs one emulation.

@example
```
const {credit} = emulateServing({mix: servingMixes.chroma, engines: 5, load: 1, viewMs: 100, seed: 1, durationMs: 30_000, choose: chooseEngine});
```
*/
export function emulateServing(emulation: Emulation): EmulationResult {
	return new Emulator(emulation).run();
}

class EmulatedEntry {
	readonly own: readonly Work[];
	/** What all entries did at the last look, without this one. */
	others: readonly Work[];

	constructor(engines: number) {
		this.own = createWork(engines);
		this.others = createWork(engines);
	}
}

class Emulator {
	readonly #emulation: Emulation;
	readonly #queue = new EventQueue();
	/** Draws the traffic, which is the same for each choice. */
	readonly #traffic: Random;
	readonly #random: Random;
	readonly #engines: readonly EmulatedEngine[];
	readonly #entries: readonly EmulatedEntry[];
	/** What all entries do. */
	readonly #total: readonly Work[];
	readonly #partTokens = new Map<string, number>();
	readonly #ended: Record<string, number> = {};
	readonly #late: Record<string, number> = {};
	#asked = 0;
	#refused = 0;
	readonly #earnings: Record<string, Earning[]> = {};

	constructor(emulation: Emulation) {
		const {mix, engines, seed} = emulation;
		this.#emulation = emulation;
		this.#traffic = new SeededRandom(seed);
		this.#random = new SeededRandom(seed + 1);
		this.#engines = Array.from({length: engines}, () => new EmulatedEngine(this.#queue, mix.engine));
		this.#entries = Array.from({length: mix.entries}, () => new EmulatedEntry(engines));
		this.#total = createWork(engines);
	}

	run(): EmulationResult {
		const {mix, durationMs, viewMs} = this.#emulation;
		for (const kind of mix.kinds) {
			this.#sendClumps(kind);
		}

		for (const entry of this.#entries) {
			this.#queue.add(this.#random.next() * viewMs, () => {
				this.#look(entry);
			});
		}

		this.#queue.runUntil(durationMs);
		const sizes = (this.#earnings[mix.kinds[0]!.name] ?? []).toSorted((left, right) => right.size - left.size);
		return {
			credit: getCredit(Object.values(this.#earnings).flat()),
			largestCredit: getCredit(sizes.slice(0, Math.ceil(sizes.length * largestPart))),
			refusedPart: this.#refused / this.#asked,
			lateParts: Object.fromEntries(mix.kinds.map(({name}) => [name, (this.#late[name] ?? 0) / Math.max(1, this.#ended[name] ?? 0)])),
		};
	}

	/** An entry tells what it does, and learns a view later what the others did by now. */
	#look(entry: EmulatedEntry): void {
		const others = this.#total.map((work, index) => subtract(work, entry.own[index]!));
		this.#queue.add(this.#emulation.viewMs, () => {
			entry.others = others;
			this.#look(entry);
		});
	}

	#sendClumps(kind: PromptKind): void {
		const {load} = this.#emulation;
		this.#queue.add(this.#drawPause(clump * 1000 / (kind.perSecond * load)), () => {
			const count = 1 + Math.round(this.#drawPause(clump - 1));
			for (let index = 0; index < count; index += 1) {
				this.#queue.add(this.#drawPause(clumpMs), () => {
					this.#send(this.#drawArrival(kind));
				});
			}

			this.#sendClumps(kind);
		});
	}

	#send(arrival: Arrival): void {
		const {entry, kind, parts, promptTokens, answerTokens} = arrival;
		const sharedTokens = parts.reduce((sum, {tokens}) => sum + tokens, 0);
		const chosen = this.#emulation.choose(this.#getCandidates(entry), {
			tokens: promptTokens, sharedTokens, sharedPart: parts.at(-1)!.id, zone: '',
		}, this.#random);
		this.#noteAsked(arrival, chosen === undefined);
		if (chosen === undefined) {
			return;
		}

		const index = Number(chosen.id);
		const change = (requests: number, tokens: number) => {
			for (const work of [entry.own[index]!, this.#total[index]!]) {
				work.requests += requests;
				work.pendingTokens += tokens;
			}
		};

		const pendingTokens = promptTokens - (sharedTokens / 2);
		const startedAt = this.#queue.now;
		let firstMs = 0;
		change(1, pendingTokens);
		this.#queue.add(linkMs, () => {
			this.#engines[index]!.run({
				promptTokens,
				parts,
				answerTokens,
				priority: kind.priority,
				onFirstToken: () => {
					firstMs = this.#queue.now + linkMs - startedAt;
					change(0, -pendingTokens);
				},
				onEnd: longestPauseMs => {
					change(-1, 0);
					this.#noteEnd(arrival, startedAt, firstMs > kind.targetMs || longestPauseMs > kind.targetPauseMs);
				},
			});
		});
	}

	#getCandidates(entry: EmulatedEntry): readonly Candidate[] {
		return entry.own.map(({requests, pendingTokens}, index) => {
			const others = entry.others[index]!;
			return {
				id: String(index),
				slots: this.#emulation.mix.engine.slots,
				inFlight: requests,
				load: requests + others.requests,
				pendingTokens: pendingTokens + (lateShare * others.pendingTokens),
				zone: '',
			};
		});
	}

	#noteAsked(arrival: Arrival, isRefused: boolean): void {
		if (this.#queue.now < warmUpMs) {
			return;
		}

		this.#asked += 1;
		if (isRefused) {
			this.#refused += 1;
			this.#noteEarning(arrival, 0);
		}
	}

	#noteEnd(arrival: Arrival, startedAt: number, isLate: boolean): void {
		if (startedAt < warmUpMs) {
			return;
		}

		const {name} = arrival.kind;
		this.#ended[name] = (this.#ended[name] ?? 0) + 1;
		this.#late[name] = (this.#late[name] ?? 0) + (isLate ? 1 : 0);
		this.#noteEarning(arrival, isLate ? lateWorth : 1);
	}

	#noteEarning({kind, worth, size}: Arrival, part: number): void {
		this.#earnings[kind.name] ??= [];
		this.#earnings[kind.name]!.push({size, owed: worth, earned: worth * part});
	}

	#drawArrival(kind: PromptKind): Arrival {
		const parts = kind.shared.map(({count, ...size}, level) => {
			const id = `${kind.name}-${level}-${Math.floor(count * this.#traffic.next())}`;
			const tokens = this.#partTokens.get(id) ?? this.#drawSize(size);
			this.#partTokens.set(id, tokens);
			return {id, tokens};
		});
		const promptTokens = this.#drawSize(kind.own) + parts.reduce((sum, {tokens}) => sum + tokens, 0);
		const answerTokens = this.#drawSize(kind.answer);
		const size = promptTokens + (answerWeight * answerTokens);
		return {
			kind,
			entry: this.#entries[Math.floor(this.#traffic.next() * this.#entries.length)]!,
			parts,
			promptTokens,
			answerTokens,
			size,
			worth: kind.worth * Math.min(maxWorth, fixedWorth + ((1 - fixedWorth) * size / getMeanSize(kind))),
		};
	}

	/** Draws a log-normal size of at least one. */
	#drawSize({mean, spread, max}: DrawnSize): number {
		const normal = Math.sqrt(-2 * Math.log(1 - this.#traffic.next())) * Math.cos(2 * Math.PI * this.#traffic.next());
		return Math.round(Math.max(1, Math.min(max, mean * Math.exp((spread * normal) - (spread * spread / 2)))));
	}

	#drawPause(mean: number): number {
		return -mean * Math.log(1 - this.#traffic.next());
	}
}

function getCredit(earnings: readonly Earning[]): number {
	const owed = earnings.reduce((sum, earning) => sum + earning.owed, 0);
	return owed === 0 ? 1 : earnings.reduce((sum, earning) => sum + earning.earned, 0) / owed;
}

function createWork(engines: number): Work[] {
	return Array.from({length: engines}, () => ({requests: 0, pendingTokens: 0}));
}

function subtract(all: Work, own: Work): Work {
	return {
		requests: all.requests - own.requests, pendingTokens: all.pendingTokens - own.pendingTokens,
	};
}

function getMeanSize({shared, own, answer}: PromptKind): number {
	return own.mean + shared.reduce((sum, {mean}) => sum + mean, 0) + (answerWeight * answer.mean);
}
