/** The links of a run: network partitions in one or both directions, delays, losses and duplicates. */
import type {MemoryNetwork, Delivery} from '@mulberrypitch/fakes/memory-transport';
import {getRandomBetween, type Random} from '@mulberrypitch/lifecycle/random';

/** Longest random delay, for messages with a long delay and for duplicates. */
const maxDelayMs = 800;
const minDelayMs = 1;

/** Delay of the links, and the shares of messages that are lost, duplicated or delayed for longer. */
export type LinkQuality = {
	/** Longest delay of a message that is not subject to a long delay. */
	readonly maxUsualDelayMs: number;
	readonly lossShare: number;
	readonly duplicateShare: number;
	readonly longDelayShare: number;
};

/** Sets the delivery policy of a network: which messages are lost, delayed or duplicated. */
export class Links {
	/** Quality of all links; it may be replaced during a run. */
	quality: LinkQuality;
	readonly #random: Random;
	readonly #getFrozenUntil: (host: string) => number;
	readonly #cuts = new Set<string>();
	readonly #network: MemoryNetwork;

	constructor(network: MemoryNetwork, random: Random, quality: LinkQuality, getFrozenUntil: (host: string) => number) {
		this.#network = network;
		this.#random = random;
		this.quality = quality;
		this.#getFrozenUntil = getFrozenUntil;
		network.setPolicy((from, to) => this.#decide(from, to));
	}

	/** Drops all messages in one direction. */
	cut(from: string, to: string): void {
		this.#cuts.add(`${from} ${to}`);
	}

	/** Lets messages in one direction through again. */
	restore(from: string, to: string): void {
		this.#cuts.delete(`${from} ${to}`);
	}

	/** Reverts all cuts. */
	restoreAll(): void {
		this.#cuts.clear();
	}

	#decide(from: string, to: string): Delivery {
		const {maxUsualDelayMs, lossShare, duplicateShare, longDelayShare} = this.quality;
		const isLost = this.#cuts.has(`${from} ${to}`) || this.#random.next() < lossShare;
		const delayMs = this.#random.next() < longDelayShare ? getRandomBetween(this.#random, 0, maxDelayMs) : getRandomBetween(this.#random, minDelayMs, maxUsualDelayMs);
		const frozenMs = Math.max(0, this.#getFrozenUntil(to) - this.#network.clock.now());
		const isDuplicated = this.#random.next() < duplicateShare;
		return {
			isLost, delayMs: Math.max(delayMs, frozenMs), ...(isDuplicated && {copyDelayMs: getRandomBetween(this.#random, 0, maxDelayMs)}),
		};
	}
}
