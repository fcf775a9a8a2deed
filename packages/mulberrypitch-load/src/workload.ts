/** Random workloads, reproducible by seed, with the request mixes of the two deployments. */
import type {Random} from '@mulberrypitch/lifecycle/random';
import type {EngineSpeed} from './batching-engine.js';

/** The kinds of requests in a workload. */
export const requestClasses = {
	/** A long document, whose caller tolerates a delay. */
	document: 'document',
	/** A short answer to an interactive user. */
	shortAnswer: 'shortAnswer',
	/** An idempotent lookup on a plain service. */
	lookup: 'lookup',
	/** A booking on a plain service, which is not idempotent and must not be retried. */
	booking: 'booking',
} as const;

/** One kind of request. */
export type RequestClass = typeof requestClasses[keyof typeof requestClasses];

/** A workspace with its limits and its traffic. */
export type WorkspaceMix = {
	readonly name: string;
	/** Weight of the workspace in admission control. */
	readonly share: number;
	/** Limit of requests in flight. */
	readonly maxInFlight: number;
	/** Weight of the workspace's requests in the traffic. */
	readonly weight: number;
};

/** The services and workspaces of a deployment. */
export type Deployment = {
	readonly name: string;
	/** Number of entry hosts. */
	readonly entries: number;
	/** Name of the service whose back ends are model engines. */
	readonly engineService: string;
	readonly engines: number;
	/** Name of the plain service, whose back ends are not model engines. */
	readonly plainService: string;
	/** Number of back ends of the plain service. */
	readonly plainRunners: number;
	readonly workspaces: readonly WorkspaceMix[];
};

/** One request of the load. */
export type Arrival = {
	/** Time since the start of the run, in milliseconds. */
	readonly at: number;
	/** Index of the entry host that receives the request. */
	readonly entry: number;
	readonly workspace: WorkspaceMix;
	readonly requestClass: RequestClass;
	/** Identifies the shared prefix of the prompt; empty for plain services. */
	readonly prefix: string;
	readonly prefixTokens: number;
	readonly promptTokens: number;
	readonly answerTokens: number;
	readonly maxTokens: number;
	readonly deadlineMs: number;
};

/** Rate of the traffic and its spread over the entry hosts. */
export type Traffic = {
	readonly ratePerSecond: number;
	readonly durationMs: number;
	/** Share of the requests that all go to the first entry host; the others are spread evenly. */
	readonly busiestEntryShare?: number;
};

type ClassShape = {
	readonly weight: number;
	readonly answerTokens: number;
	readonly maxTokens: number;
	readonly deadlineMs: number;
};

const prefixTokens = 1200;
const ownPromptTokens = 200;
const prefixesPerWorkspace = 8;
/** The length of an answer is the mean of its class times a factor between this and one more than this. */
const minAnswerFactor = 0.5;

const classShapes: Readonly<Record<RequestClass, ClassShape>> = {
	document: {
		weight: 0.1, answerTokens: 800, maxTokens: 1200, deadlineMs: 120_000,
	},
	shortAnswer: {
		weight: 0.6, answerTokens: 60, maxTokens: 128, deadlineMs: 10_000,
	},
	lookup: {
		weight: 0.2, answerTokens: 1, maxTokens: 0, deadlineMs: 2000,
	},
	booking: {
		weight: 0.1, answerTokens: 1, maxTokens: 0, deadlineMs: 10_000,
	},
};

/** Speed of the emulated model engines. */
export const engineSpeed: EngineSpeed = {
	slots: 16, tokenMs: 20, batchTokenMs: 1.5, prefillTokenMs: 0.2, cachedPrefixes: 12,
};

/** Speed of the emulated back ends of plain services. */
export const plainSpeed: EngineSpeed = {
	slots: 4, tokenMs: 100, batchTokenMs: 0, prefillTokenMs: 0, cachedPrefixes: 1,
};

const workspaceShares = [4, 4, 2, 1, 1];

function createWorkspaces(names: readonly string[]): WorkspaceMix[] {
	return names.map((name, index) => ({
		name, share: workspaceShares[index]!, maxInFlight: 256, weight: workspaceShares[index]!,
	}));
}

/** The two deployments, by name. */
export const deployments: Readonly<Record<string, Deployment>> = {
	'aria-pulita': {
		name: 'aria-pulita',
		entries: 7,
		engineService: 'consiglio-lm',
		engines: 6,
		plainService: 'sportello-app',
		plainRunners: 3,
		workspaces: createWorkspaces(['clinics', 'schools', 'households', 'volunteers', 'office']),
	},
	'siam-chroma': {
		name: 'siam-chroma',
		entries: 8,
		engineService: 'formula-llm',
		engines: 8,
		plainService: 'order-desk',
		plainRunners: 3,
		workspaces: createWorkspaces(['packaging', 'sales', 'laboratory', 'converters', 'office']),
	},
};

/**
Returns the rate of all requests, in requests per second, at which the engines decode with full batches.

@example
```
const ratePerSecond = 0.8 * getCapacity(deployments['aria-pulita']!);
```
*/
export function getCapacity(deployment: Deployment): number {
	const {slots, tokenMs, batchTokenMs} = engineSpeed;
	const tokensPerSecond = deployment.engines * slots * 1000 / (tokenMs + (batchTokenMs * slots));
	const tokensPerRequest = Object.values(classShapes)
		.filter(shape => shape.maxTokens > 0)
		.reduce((sum, shape) => sum + (shape.weight * shape.answerTokens), 0);
	return tokensPerSecond / tokensPerRequest;
}

function sumWeights(workspaces: readonly WorkspaceMix[]): number {
	return workspaces.reduce((sum, {weight}) => sum + weight, 0);
}

/**
Returns the arrivals of a run in order of time. They form a Poisson process.

@example
```
const arrivals = drawArrivals(deployment, new SeededRandom(1), {ratePerSecond: 10, durationMs: 60_000});
```
*/
export function drawArrivals(deployment: Deployment, random: Random, traffic: Traffic): Arrival[] {
	const {ratePerSecond, durationMs, busiestEntryShare = 0} = traffic;
	const arrivals: Arrival[] = [];
	let at = 0;
	for (;;) {
		at += -Math.log(1 - random.next()) * 1000 / ratePerSecond;
		if (at >= durationMs) {
			return arrivals;
		}

		arrivals.push(drawArrival(deployment, random, at, busiestEntryShare));
	}
}

function drawArrival(deployment: Deployment, random: Random, at: number, busiestEntryShare: number): Arrival {
	const classes = Object.values(requestClasses);
	const requestClass = drawWeighted(classes, classes.map(name => classShapes[name].weight), random);
	const workspace = drawWeighted(deployment.workspaces, deployment.workspaces.map(({weight}) => weight), random);
	const {answerTokens, maxTokens, deadlineMs} = classShapes[requestClass];
	const isEngine = maxTokens > 0;
	return {
		at,
		entry: getEntry(random.next(), deployment.entries, busiestEntryShare),
		workspace,
		requestClass,
		prefix: isEngine ? `${workspace.name}/${Math.floor(random.next() * prefixesPerWorkspace)}` : '',
		prefixTokens: isEngine ? prefixTokens : 0,
		promptTokens: isEngine ? prefixTokens + ownPromptTokens : 0,
		answerTokens: Math.max(1, Math.round(answerTokens * (minAnswerFactor + random.next()))),
		maxTokens,
		deadlineMs,
	};
}

function getEntry(draw: number, entries: number, busiestEntryShare: number): number {
	return draw < busiestEntryShare ? 0 : Math.floor((draw - busiestEntryShare) / (1 - busiestEntryShare) * entries);
}

function drawWeighted<Value>(values: readonly Value[], weights: readonly number[], random: Random): Value {
	let remaining = random.next() * weights.reduce((sum, weight) => sum + weight, 0);
	for (const [index, value] of values.entries()) {
		remaining -= weights[index]!;
		if (remaining < 0) {
			return value;
		}
	}

	return values.at(-1)!;
}
