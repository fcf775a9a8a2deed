/** The links of a run: cuts in one or both directions, delays, losses and copies. */
import type {MemoryNetwork, Delivery} from '@mulberrypitch/fakes/memory-transport';
import {getBetween, type Random} from '@mulberrypitch/lifecycle/random';

const longestDelayMs = 800;
const shortestDelayMs = 1;

/** How unreliable the links are, as shares of all messages. */
export type LinkQuality = {
	readonly usualDelayMs: number;
	readonly lossShare: number;
	readonly copyShare: number;
	readonly longDelayShare: number;
};

/** Decides on each message of a network. */
export class Links {
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

	/** Loses all messages in one direction. */
	cut(from: string, to: string): void {
		this.#cuts.add(`${from} ${to}`);
	}

	heal(from: string, to: string): void {
		this.#cuts.delete(`${from} ${to}`);
	}

	healAll(): void {
		this.#cuts.clear();
	}

	#decide(from: string, to: string): Delivery {
		const {usualDelayMs, lossShare, copyShare, longDelayShare} = this.quality;
		const isLost = this.#cuts.has(`${from} ${to}`) || this.#random.next() < lossShare;
		const delayMs = this.#random.next() < longDelayShare ? getBetween(this.#random, 0, longestDelayMs) : getBetween(this.#random, shortestDelayMs, usualDelayMs);
		const frozenMs = Math.max(0, this.#getFrozenUntil(to) - this.#network.clock.now());
		const isCopied = this.#random.next() < copyShare;
		return {
			isLost, delayMs: Math.max(delayMs, frozenMs), ...(isCopied && {copyDelayMs: getBetween(this.#random, 0, longestDelayMs)}),
		};
	}
}
