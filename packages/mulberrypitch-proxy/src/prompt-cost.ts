/** Learns from first events how much of an engine's time one prompt token takes. */

/** What was learned, or too little. */
export type PromptCost = {
	/** Engine time for one token of a prompt, parts that are cached included. */
	readonly msPerToken: number;
};

/** Prompts up to this length show what a first event takes by itself. */
const smallTokens = 1500;
/** Prompts from this length on show what their tokens take. */
const largeTokens = 4000;
const maxSamples = 120;
const minSamples = 3;
/** The quicker ones of the samples were not held up by other requests. */
const unqueuedQuantile = 0.15;

/** Keeps the last samples of small and of large prompts. */
export class PromptCostEstimate {
	#small: number[] = [];
	#large: number[] = [];

	/** Notes that the first event of a prompt took a time in milliseconds. */
	add(tokens: number, firstEventMs: number): void {
		if (tokens <= smallTokens) {
			this.#small = [...this.#small, firstEventMs].slice(-maxSamples);
		} else if (tokens >= largeTokens) {
			this.#large = [...this.#large, Math.max(0, firstEventMs - this.#baseMs) / tokens].slice(-maxSamples);
		}
	}

	read(): PromptCost | undefined {
		return this.#large.length < minSamples ? undefined : {msPerToken: getUnqueuedMs(this.#large)};
	}

	/** Time of a first event without any prompt. */
	get #baseMs(): number {
		return this.#small.length < minSamples ? 0 : getUnqueuedMs(this.#small);
	}
}

function getUnqueuedMs(samples: readonly number[]): number {
	return samples.toSorted((left, right) => left - right)[Math.floor(samples.length * unqueuedQuantile)]!;
}
