/** Measures the tokens recomputed in a wave of reclaims, for each way to continue the requests. */
import {ends} from '@mulberrypitch/control/types';
import {SeededRandom} from '@mulberrypitch/lifecycle/random';
import {
	createDocument, collectAnswer, isWhole, type Received,
} from './cluster-calls.js';
import {RequestCluster} from './request-cluster.js';

const engineCount = 6;
const waveSize = 2;
const documentCount = 12;
const minTokens = 100;
const maxTokens = 600;
const beforeWaveMs = 6000;
const noticeMs = 3000;
const endLimitMs = 60_000;

/** Ways to continue the requests of reclaimed engines. */
export const reclaimModes = {
	/** As planned for each request: finish, move the KV cache, or resume. */
	planned: 'planned',
	/** Recompute the KV cache of the prompt and of the tokens so far, without moving caches. */
	resume: 'resume',
	/** Recompute the whole answer from the prompt. */
	restart: 'restart',
} as const;

/** One of `reclaimModes`. */
export type ReclaimMode = typeof reclaimModes[keyof typeof reclaimModes];

/** Measurements of one wave. */
export type ReclaimResult = {
	readonly mode: ReclaimMode;
	readonly seed: number;
	readonly recomputedTokens: number;
	/** Number of documents that a reader received completely and without errors. */
	readonly whole: number;
	/** Number of documents whose request ended as answered. */
	readonly documents: number;
	/** Time from the first request to the last end, in milliseconds of virtual time. */
	readonly durationMs: number;
};

/**
Runs one wave: two of six engines are reclaimed with a notice of 3 s while they and the others generate 12 documents.

@example
```
const {recomputedTokens} = await runReclaimExperiment('planned', 1);
```
*/
export async function runReclaimExperiment(mode: ReclaimMode, seed: number): Promise<ReclaimResult> {
	const cluster = new RequestCluster(seed);
	cluster.movesCache = mode === reclaimModes.planned;
	cluster.isRestarting = mode === reclaimModes.restart;
	await cluster.start(4, engineCount);
	const startedAt = cluster.clock.now();
	const random = new SeededRandom(seed);
	const sizes = Array.from({length: documentCount}, () => Math.floor(minTokens + (random.next() * (maxTokens - minTokens))));
	const hosts = [...cluster.hosts.values()];
	const accepting = sizes.map(async (size, index) => hosts[index % hosts.length]!.requests.submit(createDocument(`document-${index}`, size)));
	const accepted = await cluster.settle(Promise.all(accepting));
	const received: Received[] = accepted.map(request => collectAnswer(request));
	await cluster.clock.runFor(beforeWaveMs);
	for (let index = 1; index <= waveSize; index += 1) {
		void cluster.reclaim(`engine-${index}`, noticeMs);
	}

	await cluster.until(() => received.every(({outcome}) => outcome !== undefined), endLimitMs);
	const result = {
		mode,
		seed,
		recomputedTokens: cluster.backends.recomputed,
		whole: received.filter((answer, index) => isWhole(answer, `document-${index}`, sizes[index]!)).length,
		documents: received.filter(({outcome}) => outcome?.end === ends.answered).length,
		durationMs: Math.round(cluster.clock.now() - startedAt),
	};
	await cluster.dispose();
	return result;
}
