/** Engines and request mixes of the deployments that the emulator runs. The figures come from the specifications of the deployments. */
import type {EngineModel} from './emulated-engine.js';

/** A log-normal distribution of sizes in tokens, truncated at a maximum. */
export type SizeDistribution = {
	readonly mean: number;
	/** Standard deviation of the logarithm. */
	readonly spread: number;
	readonly max: number;
};

/** A part of the prompt that requests of one kind share, such as a system prompt. */
export type SharedPartKind = SizeDistribution & {
	/** Number of distinct parts, each used equally often. */
	readonly count: number;
};

/** One kind of request. */
export type PromptKind = {
	readonly name: string;
	readonly perSecond: number;
	/** Value of a request of mean size that is answered in time; the scale is relative to the other kinds. */
	readonly worth: number;
	/** Priority of admission to an engine; zero is the highest. */
	readonly priority: number;
	/** Limit of the time to the first event, beyond which an answer is late. */
	readonly targetMs: number;
	/** Limit of the pause between two events, beyond which an answer is late. */
	readonly targetPauseMs: number;
	/** Shared parts at the head of the prompt, in their order. */
	readonly shared: readonly SharedPartKind[];
	/** Size of the part of the prompt that is unique to the request. */
	readonly own: SizeDistribution;
	readonly answer: SizeDistribution;
};

/** The engines and the traffic of one deployment. */
export type ServingMix = {
	readonly name: string;
	/** Number of entry hosts. */
	readonly entries: number;
	readonly engine: EngineModel;
	readonly kinds: readonly PromptKind[];
};

const longOwn: SizeDistribution = {mean: 6610, spread: 1.4, max: 54_600};
const shortOwn: SizeDistribution = {mean: 1800, spread: 1.3, max: 6870};

function createLongShared(count: number): readonly SharedPartKind[] {
	return [{
		count: 3, mean: 512, spread: 0.4, max: 1280,
	}, {
		count, mean: 4870, spread: 0.7, max: 14_600,
	}];
}

function createShortShared(count: number): readonly SharedPartKind[] {
	return [{
		count: 20, mean: 341, spread: 0.4, max: 851,
	}, {
		count, mean: 227, spread: 0.7, max: 681,
	}];
}

const filtriEngine: EngineModel = {
	slots: 32, stepMs: 2.2, stepMsPerSequence: 0, stepMsPerThousandTokens: 0.0175, promptTokensPerMs: 140, msPerMillionPairs: 0.295,
	firstTokenMs: 53, eventTokens: 8, chunkTokens: 4096, cacheTokens: 444_000,
};

const chromaEngine: EngineModel = {
	slots: 64, stepMs: 3.03, stepMsPerSequence: 0.121, stepMsPerThousandTokens: 0.002_44, promptTokensPerMs: 92.1, msPerMillionPairs: 0.35,
	firstTokenMs: 60, eventTokens: 5, chunkTokens: 4096, cacheTokens: 744_470,
};

/** All mixes, by name. The `grown` ones are the same deployments with more traffic and more entry hosts. */
export const servingMixes = {
	filtri: {
		name: 'filtri',
		entries: 7,
		engine: filtriEngine,
		kinds: [{
			name: 'plan', perSecond: 9.7, worth: 11, priority: 0, targetMs: 800, targetPauseMs: 500, shared: createLongShared(61), own: longOwn, answer: {mean: 384, spread: 0.44, max: 1120},
		}, {
			name: 'question', perSecond: 67.8, worth: 0.9, priority: 1, targetMs: 1000, targetPauseMs: 500, shared: createShortShared(647), own: shortOwn, answer: {mean: 24, spread: 1.4, max: 96},
		}],
	},
	chroma: {
		name: 'chroma',
		entries: 8,
		engine: chromaEngine,
		kinds: [{
			name: 'report', perSecond: 12.4, worth: 8.2, priority: 0, targetMs: 1000, targetPauseMs: 600, shared: createLongShared(177), own: longOwn, answer: {mean: 382, spread: 0.44, max: 1120},
		}, {
			name: 'hint', perSecond: 60.7, worth: 0.94, priority: 1, targetMs: 1200, targetPauseMs: 600, shared: createShortShared(386), own: shortOwn, answer: {mean: 22, spread: 1.4, max: 90},
		}],
	},
	grownFiltri: {
		name: 'grownFiltri',
		entries: 91,
		engine: {...filtriEngine, slots: 12, eventTokens: 12},
		kinds: [{
			name: 'plan', perSecond: 70.2, worth: 11, priority: 0, targetMs: 819, targetPauseMs: 400, shared: createLongShared(457), own: longOwn, answer: {mean: 384, spread: 0.44, max: 1120},
		}, {
			name: 'question', perSecond: 519, worth: 0.9, priority: 1, targetMs: 1010, targetPauseMs: 400, shared: createShortShared(4850), own: shortOwn, answer: {mean: 24, spread: 1.4, max: 96},
		}],
	},
	grownChroma: {
		name: 'grownChroma',
		entries: 75,
		engine: {...chromaEngine, eventTokens: 7},
		kinds: [{
			name: 'report', perSecond: 80.5, worth: 8.2, priority: 0, targetMs: 1019, targetPauseMs: 600, shared: createLongShared(887), own: longOwn, answer: {mean: 385, spread: 0.44, max: 1120},
		}, {
			name: 'hint', perSecond: 396, worth: 0.94, priority: 1, targetMs: 1510, targetPauseMs: 600, shared: createShortShared(1933), own: shortOwn, answer: {mean: 21, spread: 1.4, max: 90},
		}],
	},
	// The specification gives neither the time of a step nor the sizes of prompts, so these are those of the other mixes with a slower engine.
	uneven: {
		name: 'uneven',
		entries: 76,
		engine: {
			...filtriEngine, slots: 16, stepMs: 4, stepMsPerSequence: 0.2, promptTokensPerMs: 60, eventTokens: 9,
		},
		kinds: [{
			name: 'review', perSecond: 71.2, worth: 6.3, priority: 1, targetMs: 1026, targetPauseMs: 300, shared: createLongShared(457), own: longOwn, answer: {mean: 384, spread: 0.44, max: 1120},
		}, {
			name: 'verdict', perSecond: 286, worth: 1.9, priority: 0, targetMs: 513, targetPauseMs: 300, shared: createShortShared(4850), own: shortOwn, answer: {mean: 24, spread: 1.4, max: 96},
		}],
	},
} as const satisfies Record<string, ServingMix>;
