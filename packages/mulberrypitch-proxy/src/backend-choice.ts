/**
 * Chooses the back end of a request. Reports of the other entries' requests arrive with a delay, so entries must not all choose the
 * back end that looks least loaded; and the prefill of a long prompt stalls all streams of its inference engine.
 */
import type {Random} from '@mulberrypitch/lifecycle/random';
import {hashText, rankNodes} from '@mulberrypitch/routing/rendezvous';

/** A back end that a request can be sent to. */
export type Candidate = {
	readonly id: string;
	/** Number of requests that the back end runs concurrently. */
	readonly slots: number;
	/** Requests in flight from this entry. */
	readonly inFlight: number;
	/** Requests in flight from this entry and, as last reported, from all other entries. */
	readonly load: number;
	/** Prompt tokens whose prefill is still pending. */
	readonly pendingTokens: number;
	readonly zone: string;
};

/** The properties of a request's prompt that affect the choice of an engine. */
export type PlacedPrompt = {
	/** Availability zone of the entry. */
	readonly zone: string;
	/** Number of prompt tokens. */
	readonly tokens: number;
	/** Number of tokens of the prompt's prefix that other requests share. */
	readonly sharedTokens: number;
	/** Identifies the last part of this prefix; absent when the route shares none. */
	readonly sharedPart?: string;
};

/** Returns the speed of a back end by its identifier; one is the mean of its service. */
export type SpeedLookup = (id: string) => number;

const getEqualSpeed: SpeedLookup = () => 1;

/** Maximum number of requests per slot of a back end without an inference engine, which queues some requests itself. */
const plainLoadPerSlot = 3;
/**
Exponent of the speed in the weight of a back end without an inference engine. A slow one answers late even without a queue, so it gets less
than in proportion; as the others fill up, their times and with them the difference in speed shrink.
*/
const plainSpeedExponent = 2;
/** Prompt size in tokens above which prefill takes about as long as a stream may pause. */
export const largePromptTokens = 32_000;
/** Share of the engines that is reserved for large prompts. */
const reservedEngineShare = 1 / 12;
/** Minimum number of engines from which one is reserved for large prompts. */
const minEnginesToReserve = 3;
/** Numbers of engines drawn at random for comparison, so that entries with the same outdated view make different choices. */
const sampledMatching = 5;
const sampledOther = 2;
/** Share of a prompt's tokens that each running stream of the engine adds to the cost. */
const streamWeight = 0.2;
/** Added cost, in tokens, of an engine that is reserved for large prompts if the prompt is not large, and vice versa. */
const mixedSizePenaltyTokens = 50_000;
/** Added cost, in tokens, of an engine in another availability zone. */
const otherZonePenaltyTokens = 300;
/** Upper limit of the random part of a cost, in tokens. */
const maxJitterTokens = 100;
/** Shares of a shared prefix that the first and the second preferred engine are expected to have in their prefix cache. */
const cachedShares = [1, 0.5] as const;
/** Weight of a cached token: reusing it saves prefill now and keeps it cached for later requests. */
const cachedWeight = 3;

/**
Returns the least utilized back end without an inference engine, or `undefined` when all are full. Utilization counts
only this entry's own requests; ties are broken at random, in favour of faster back ends.

@example
```
const backend = choosePlainBackend(candidates, random);
```
*/
export function choosePlainBackend<Choice extends Candidate>(candidates: readonly Choice[], random: Random, getSpeed = getEqualSpeed): Choice | undefined {
	const free = candidates.filter(({load, slots}) => load < slots * plainLoadPerSlot);
	const least = Math.min(...free.map(candidate => getOwnUtilization(candidate, getSpeed)));
	const equal = free.filter(candidate => getOwnUtilization(candidate, getSpeed) === least);
	return draw(equal, ({id}) => getSpeed(id) ** plainSpeedExponent, random);
}

/**
Returns the engine with the lowest cost among a few candidates, or `undefined` when all are full. The cost counts the
tokens to prefill before the first token and the running streams. Large prompts use reserved engines, unless these are much busier.

@example
```
const backend = chooseEngine(candidates, {tokens: 1200, sharedTokens: 0, zone}, random);
```
*/
export function chooseEngine<Choice extends Candidate>(candidates: readonly Choice[], prompt: PlacedPrompt, random: Random, getSpeed = getEqualSpeed): Choice | undefined {
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
		cost: getCost(candidate, prompt, {rank: preferred.indexOf(candidate), speed: getSpeed(candidate.id)})
			+ (isMatching(candidate) ? 0 : mixedSizePenaltyTokens) + (random.next() * maxJitterTokens),
	}));
	return costs.toSorted((left, right) => left.cost - right.cost)[0]?.candidate;
}

function getOwnUtilization({id, inFlight, slots}: Candidate, getSpeed: SpeedLookup): number {
	return inFlight / (slots * getSpeed(id));
}

/**
Returns the cost of an engine in tokens at mean speed. `rank` is the engine's position among those preferred for the prefix, or -1. A faster
engine does the work that waits, and the work of this prompt, in less time.
*/
function getCost({pendingTokens, load, zone}: Candidate, prompt: PlacedPrompt, {rank, speed}: {readonly rank: number; readonly speed: number}): number {
	const cachedTokens = (cachedShares[rank] ?? 0) * prompt.sharedTokens;
	const effectiveTokens = prompt.tokens - (cachedWeight * cachedTokens);
	const tokens = pendingTokens + (effectiveTokens * (1 + (streamWeight * load / speed)));
	return (tokens / speed) + (zone === prompt.zone ? 0 : otherZonePenaltyTokens);
}

/** Returns the identifiers of the engines reserved for large prompts. All entries reserve the same ones, since they rank the same identifiers. */
function getReservedForLarge(candidates: readonly Candidate[]): ReadonlySet<string> {
	if (candidates.length < minEnginesToReserve) {
		return new Set();
	}

	const count = Math.max(1, Math.round(candidates.length * reservedEngineShare));
	return new Set(rankNodes(hashText('large prompts'), candidates, ({id}) => id).slice(0, count).map(({id}) => id));
}

/** Returns the engines that most likely have the shared prefix of a prompt in their cache, most likely first. */
function getPreferred<Choice extends Candidate>(matching: readonly Choice[], {sharedPart}: PlacedPrompt): readonly Choice[] {
	return sharedPart === undefined ? [] : rankNodes(hashText(sharedPart), matching, ({id}) => id).slice(0, cachedShares.length);
}

/** Returns one of the choices, drawn at random by their weights; `undefined` if there are none. */
function draw<Choice>(choices: readonly Choice[], getWeight: (choice: Choice) => number, random: Random): Choice | undefined {
	let remainder = random.next() * choices.reduce((sum, choice) => sum + getWeight(choice), 0);
	for (const choice of choices) {
		remainder -= getWeight(choice);
		if (remainder < 0) {
			return choice;
		}
	}

	return choices.at(-1);
}

/** Returns up to `count` different choices, drawn at random. */
function sample<Choice>(choices: readonly Choice[], count: number, random: Random): readonly Choice[] {
	if (choices.length <= count) {
		return choices;
	}

	const rest = [...choices];
	return Array.from({length: count}, () => rest.splice(Math.floor(random.next() * rest.length), 1)[0]!);
}
