/** Estimates from the time to first token how much engine time one prompt token takes. */

/** The estimated cost of prompts. */
export type PromptCost = {
	/** Engine time per prompt token in milliseconds, averaged over cached and uncached tokens. */
	readonly msPerToken: number;
};

/** Largest number of prompt tokens with which a response is a sample of the time to first token without prefill. */
const smallTokens = 1500;
/** Smallest number of prompt tokens with which a response is a sample of the prefill time per token. */
const largeTokens = 4000;
/** Numbers of samples of each size: the latest ones that are stored, and the fewest that give an estimate. */
const maxSamples = 120;
const minSamples = 3;
/** Quantile of the samples that is used as the estimate. It is low, since only the quicker responses were not delayed by other requests. */
const unqueuedQuantile = 0.15;

/** Holds the latest samples of small and of large prompts. */
export class PromptCostEstimate {
	#small: number[] = [];
	#large: number[] = [];

	/** Records the time in milliseconds from a request to the first event of its response. */
	add(tokens: number, firstEventMs: number): void {
		if (tokens <= smallTokens) {
			this.#small = [...this.#small, firstEventMs].slice(-maxSamples);
		} else if (tokens >= largeTokens) {
			this.#large = [...this.#large, Math.max(0, firstEventMs - this.#baseMs) / tokens].slice(-maxSamples);
		}
	}

	/** Returns the estimate, or `undefined` while there are too few samples of large prompts. */
	read(): PromptCost | undefined {
		return this.#large.length < minSamples ? undefined : {msPerToken: getUnqueuedMs(this.#large)};
	}

	/** Time to first token without prefill, in milliseconds. */
	get #baseMs(): number {
		return this.#small.length < minSamples ? 0 : getUnqueuedMs(this.#small);
	}
}

function getUnqueuedMs(samples: readonly number[]): number {
	return samples.toSorted((left, right) => left - right)[Math.floor(samples.length * unqueuedQuantile)]!;
}
