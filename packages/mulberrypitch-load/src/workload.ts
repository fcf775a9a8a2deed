/** Mixes of requests like those of the two deployments, drawn by seed. */
import type {Random} from '@mulberrypitch/lifecycle/random';
import type {EngineSpeed} from './batching-engine.js';

/** Kinds of requests. */
export const requestClasses = {
	/** A long document, which may wait. */
	document: 'document',
	/** A short answer to someone who waits. */
	shortAnswer: 'shortAnswer',
	/** An idempotent lookup on a plain service. */
	lookup: 'lookup',
	/** A booking on a plain service, which may not be repeated. */
	booking: 'booking',
} as const;

/** One of the kinds of requests. */
export type RequestClass = typeof requestClasses[keyof typeof requestClasses];

/** A workspace and its part of the requests. */
export type WorkspaceMix = {
	readonly name: string;
	readonly share: number;
	readonly maxInFlight: number;
	/** Weight of its requests among all. */
	readonly weight: number;
};

/** The services and workspaces of a deployment. */
export type Deployment = {
	readonly name: string;
	readonly entries: number;
	readonly engineService: string;
	readonly engines: number;
	readonly plainService: string;
	readonly plainRunners: number;
	readonly workspaces: readonly WorkspaceMix[];
};

/** One request of the load. */
export type Arrival = {
	/** Time since the start of the run, in milliseconds. */
	readonly at: number;
	readonly entry: number;
	readonly workspace: WorkspaceMix;
	readonly requestClass: RequestClass;
	readonly prefix: string;
	readonly prefixTokens: number;
	readonly promptTokens: number;
	readonly answerTokens: number;
	readonly maxTokens: number;
	readonly deadlineMs: number;
};

/** How much is sent, and where. */
export type Traffic = {
	readonly ratePerSecond: number;
	readonly durationMs: number;
	/** Part of the callers that all use the first entry; the others are spread evenly. */
	readonly busiestEntryPart?: number;
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
const minSpread = 0.5;

const shapes: Readonly<Record<RequestClass, ClassShape>> = {
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

/** Speed of the stand-in engines. */
export const engineSpeed: EngineSpeed = {
	slots: 16, tokenMs: 20, batchTokenMs: 1.5, prefillTokenMs: 0.2, cachedPrefixes: 12,
};

/** Speed of the stand-ins of plain services. */
export const plainSpeed: EngineSpeed = {
	slots: 4, tokenMs: 100, batchTokenMs: 0, prefillTokenMs: 0, cachedPrefixes: 1,
};

const shares = [4, 4, 2, 1, 1];

function createWorkspaces(names: readonly string[]): WorkspaceMix[] {
	return names.map((name, index) => ({
		name, share: shares[index]!, maxInFlight: 256, weight: shares[index]!,
	}));
}

/** The two deployments of today, by name. */
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
Gives the requests a second at which the engines decode with full batches.

@example
```
const ratePerSecond = 0.8 * getCapacity(deployments['aria-pulita']!);
```
*/
export function getCapacity(deployment: Deployment): number {
	const {slots, tokenMs, batchTokenMs} = engineSpeed;
	const tokensPerSecond = deployment.engines * slots * 1000 / (tokenMs + (batchTokenMs * slots));
	const tokensPerRequest = Object.values(shapes)
		.filter(shape => shape.maxTokens > 0)
		.reduce((sum, shape) => sum + (shape.weight * shape.answerTokens), 0);
	return tokensPerSecond / tokensPerRequest;
}

/**
Gives the deployment with one workspace sending more, and the factor by which all requests grow.

@example
```
const {deployment, growth} = flood(deployments['aria-pulita']!, 'office', 12);
```
*/
export function flood(deployment: Deployment, workspace: string, factor: number): {deployment: Deployment; growth: number} {
	const workspaces = deployment.workspaces.map(mix => mix.name === workspace ? {...mix, weight: mix.weight * factor} : mix);
	return {deployment: {...deployment, workspaces}, growth: getWeight(workspaces) / getWeight(deployment.workspaces)};
}

function getWeight(workspaces: readonly WorkspaceMix[]): number {
	return workspaces.reduce((sum, {weight}) => sum + weight, 0);
}

/**
Draws the arrivals of a run, in order of time.

@example
```
const arrivals = drawArrivals(deployment, new SeededRandom(1), {ratePerSecond: 10, durationMs: 60_000});
```
*/
export function drawArrivals(deployment: Deployment, random: Random, traffic: Traffic): Arrival[] {
	const {ratePerSecond, durationMs, busiestEntryPart = 0} = traffic;
	const arrivals: Arrival[] = [];
	let at = 0;
	for (;;) {
		at += -Math.log(1 - random.next()) * 1000 / ratePerSecond;
		if (at >= durationMs) {
			return arrivals;
		}

		arrivals.push(drawArrival(deployment, random, at, busiestEntryPart));
	}
}

function drawArrival(deployment: Deployment, random: Random, at: number, busiestEntryPart: number): Arrival {
	const classes = Object.values(requestClasses);
	const requestClass = drawWeighted(classes, classes.map(name => shapes[name].weight), random);
	const workspace = drawWeighted(deployment.workspaces, deployment.workspaces.map(({weight}) => weight), random);
	const {answerTokens, maxTokens, deadlineMs} = shapes[requestClass];
	const isEngine = maxTokens > 0;
	return {
		at,
		entry: getEntry(random.next(), deployment.entries, busiestEntryPart),
		workspace,
		requestClass,
		prefix: isEngine ? `${workspace.name}/${Math.floor(random.next() * prefixesPerWorkspace)}` : '',
		prefixTokens: isEngine ? prefixTokens : 0,
		promptTokens: isEngine ? prefixTokens + ownPromptTokens : 0,
		answerTokens: Math.max(1, Math.round(answerTokens * (minSpread + random.next()))),
		maxTokens,
		deadlineMs,
	};
}

function getEntry(draw: number, entries: number, busiestEntryPart: number): number {
	return draw < busiestEntryPart ? 0 : Math.floor((draw - busiestEntryPart) / (1 - busiestEntryPart) * entries);
}

function drawWeighted<Value>(values: readonly Value[], weights: readonly number[], random: Random): Value {
	let rest = random.next() * weights.reduce((sum, weight) => sum + weight, 0);
	for (const [index, value] of values.entries()) {
		rest -= weights[index]!;
		if (rest < 0) {
			return value;
		}
	}

	return values.at(-1)!;
}
