/**
 * Chooses the back end of a request. The entries of a deployment know of each other's requests late, so they must not all
 * take the one that looks least loaded; and a long prompt holds up all streams of its engine while it is read.
 */
import type {Random} from '@mulberrypitch/lifecycle/random';
import {hashText, rankNodes} from '@mulberrypitch/routing/rendezvous';

/** A back end as the choice sees it. */
export type Candidate = {
	readonly id: string;
	readonly slots: number;
	/** Requests of this entry. */
	readonly inFlight: number;
	/** Requests of this entry and, as far as known, of all others. */
	readonly load: number;
	/** Tokens of prompts that wait to be read. */
	readonly pendingTokens: number;
	readonly zone: string;
};

/** A prompt as the choice sees it. */
export type PlacedPrompt = {
	/** Zone of the entry. */
	readonly zone: string;
	readonly tokens: number;
	/** Tokens of the parts that other requests share. */
	readonly sharedTokens: number;
	/** Names the last of these parts; absent when the route shares none. */
	readonly sharedPart?: string;
};

/** Requests for each slot of a back end without an engine; it queues some itself. */
const plainLoadPerSlot = 3;
/** Prompts above this take about as long to read as a stream may pause. */
const largePromptTokens = 32_000;
/** Engines that are kept for large prompts, as a part of all. */
const reservedEngineShare = 1 / 12;
/** Fewest engines of which one is kept for large prompts. */
const minEnginesToReserve = 3;
/** Back ends that are compared, so that entries with the same late view don't all take the same one. */
const sampledMatching = 5;
const sampledOther = 2;
/** Part of a prompt's tokens that each stream of the engine adds to its cost. */
const streamWeight = 0.2;
/** Cost of a place among prompts of the other size, in tokens. */
const mixedSizePenaltyTokens = 50_000;
/** Cost of another zone, in tokens. */
const otherZonePenaltyTokens = 300;
/** Largest random part of a cost, in tokens. */
const maxJitterTokens = 100;
/** Parts of the shared tokens that the first and the second engine for a shared part are expected to hold. */
const cachedShares = [1, 0.5] as const;
/** Weight of a cached token: it saves reading now and for the requests to come. */
const cachedWeight = 3;

/**
Gives the back end without an engine to send to, or nothing when all are full. Each entry goes by its own requests alone.

@example
```
const backend = choosePlainBackend(candidates, random);
```
*/
export function choosePlainBackend<Choice extends Candidate>(candidates: readonly Choice[], random: Random): Choice | undefined {
	const free = candidates.filter(({load, slots}) => load < slots * plainLoadPerSlot);
	const least = Math.min(...free.map(candidate => getOwnUtilization(candidate)));
	const equal = free.filter(candidate => getOwnUtilization(candidate) === least);
	return equal[Math.floor(random.next() * equal.length)];
}

/**
Gives the engine to send a prompt to, or nothing when all are full: the cheapest of a few, by the tokens that it must read
first and the streams that it holds. Large prompts keep to engines of their own while these are not much busier.

@example
```
const backend = chooseEngine(candidates, {tokens: 1200, sharedTokens: 0, zone}, random);
```
*/
export function chooseEngine<Choice extends Candidate>(candidates: readonly Choice[], prompt: PlacedPrompt, random: Random): Choice | undefined {
	const reserved = getReservedForLarge(candidates);
	const isLarge = prompt.tokens > largePromptTokens;
	const isMatching = ({id}: Candidate) => reserved.size === 0 || reserved.has(id) === isLarge;
	const free = candidates.filter(({load, slots}) => load < slots);
	const matching = free.filter(candidate => isMatching(candidate));
	const others = free.filter(candidate => !isMatching(candidate));
	const preferred = getPreferred(matching, prompt);
	const compared = [...preferred, ...sample(matching, sampledMatching, random), ...sample(others, matching.length === 0 ? sampledMatching : sampledOther, random)];
	const costs = compared.map(candidate => ({
		candidate,
		cost: getCost(candidate, prompt, preferred.indexOf(candidate)) + (isMatching(candidate) ? 0 : mixedSizePenaltyTokens) + (random.next() * maxJitterTokens),
	}));
	return costs.toSorted((left, right) => left.cost - right.cost)[0]?.candidate;
}

function getOwnUtilization({inFlight, slots}: Candidate): number {
	return inFlight / slots;
}

function getCost({pendingTokens, load, zone}: Candidate, prompt: PlacedPrompt, rank: number): number {
	const cachedTokens = (cachedShares[rank] ?? 0) * prompt.sharedTokens;
	const unread = prompt.tokens - (cachedWeight * cachedTokens);
	return pendingTokens + (unread * (1 + (streamWeight * load))) + (zone === prompt.zone ? 0 : otherZonePenaltyTokens);
}

/** All entries keep the same engines, since they rank the same identifiers. */
function getReservedForLarge(candidates: readonly Candidate[]): ReadonlySet<string> {
	if (candidates.length < minEnginesToReserve) {
		return new Set();
	}

	const count = Math.max(1, Math.round(candidates.length * reservedEngineShare));
	return new Set(rankNodes(hashText('large prompts'), candidates, ({id}) => id).slice(0, count).map(({id}) => id));
}

/** Gives the engines that most likely hold the shared part of a prompt. */
function getPreferred<Choice extends Candidate>(matching: readonly Choice[], {sharedPart}: PlacedPrompt): readonly Choice[] {
	return sharedPart === undefined ? [] : rankNodes(hashText(sharedPart), matching, ({id}) => id).slice(0, cachedShares.length);
}

function sample<Choice>(choices: readonly Choice[], count: number, random: Random): readonly Choice[] {
	if (choices.length <= count) {
		return choices;
	}

	const rest = [...choices];
	return Array.from({length: count}, () => rest.splice(Math.floor(random.next() * rest.length), 1)[0]!);
}
