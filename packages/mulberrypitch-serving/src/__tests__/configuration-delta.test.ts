/** Tests of the changes between configurations, and of their encoded form. */
import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import t from 'tap';
import {ProtocolError} from '@mulberrypitch/errors/catalogue';
import {
	applyDelta, createDelta, createWholeDelta, type ConfigurationDelta, type DigestedConfiguration,
} from '../configuration-delta.js';
import {
	blockCharacters, countBlocks, decodeDelta, encodeDelta, getDigest,
} from '../configuration-encoding.js';
import type {Route, ServingConfiguration, Workspace} from '../types.js';

const seed = 20;
const runs = 300;
const limits = {
	maxHeaderBytes: 1, maxBodyBytes: 2, headerTimeoutMs: 3, idleTimeoutMs: 4,
};

function createRoute(host: string, pathPrefix: string, timeoutMs: number): Route {
	return {
		name: 'r',
		host,
		pathPrefix,
		kind: 'idempotent',
		timeoutMs,
		targetLatencyMs: 1,
		priority: 0,
		targets: [{service: 'a', weight: 1}],
		maxAttempts: 1,
		isPublic: true,
		hasSharedPrompts: false,
		isResumable: false,
	};
}

const routes = fc.uniqueArray(fc.record({
	host: fc.constantFrom('a', 'A', 'b', 'c', 'd'), path: fc.constantFrom('/', '/x/', '/y/', '/x/y/', '/é/'), timeoutMs: fc.integer({min: 1, max: 2}),
}), {maxLength: 12, selector: ({host, path}) => host + path}).map(list => list.map(({host, path, timeoutMs}) => createRoute(host, path, timeoutMs)));
const names = fc.constantFrom('a', 'b', 'c', 'd');
const workspaceFields = fc.record({name: names, priority: fc.integer({min: 0, max: 1})});
const workspaces = fc.array(workspaceFields, {maxLength: 3}).map(list => list.map(({name, priority}): Workspace => ({
	name, priority, keys: [`key of ${name}`], countsTokens: false, plainTokens: 1, ratePerSecond: 1, burst: 1,
})));
const serviceFields = fc.record({name: names, maxConnections: fc.integer({min: 1, max: 2}), healthPath: fc.constant('/h')}, {noNullPrototype: true});
const services = fc.uniqueArray(serviceFields, {maxLength: 4, selector: ({name}) => name});
const configurations = fc.record({
	routes, services, limits: fc.constantFrom(limits, {...limits, maxBodyBytes: 9}), workspaces: fc.option(workspaces, {nil: undefined}),
}, {noNullPrototype: true})
	.map(({workspaces, ...fields}) => ({...fields, ...(workspaces !== undefined && {workspaces})}));
/** Pairs of configurations of which the second one shares routes, and often services and workspaces, with the first one. */
const pairs = fc.tuple(configurations, configurations, fc.nat({max: 4}), fc.boolean()).map(([before, after, dropped, isShared]) => {
	const routes = [...before.routes.slice(dropped), ...after.routes.slice(0, 3)];
	const uniqueRoutes = [...new Map(routes.map(route => [route.host + route.pathPrefix, route])).values()];
	return [before, {...after, ...(isShared && {...before, limits: after.limits}), routes: uniqueRoutes}] as const;
});

function hold(fields: Omit<ServingConfiguration, 'version'>, version: number): DigestedConfiguration {
	const configuration = {...fields, version};
	return {configuration, digest: getDigest(JSON.stringify(configuration))};
}

function decode(bytes: Uint8Array): ConfigurationDelta {
	const steps = decodeDelta(bytes);
	let step = steps.next();
	while (!step.done) {
		step = steps.next();
	}

	return step.value;
}

/** Returns a configuration with its lists in a fixed order, which has no meaning where keys are unique. */
function sort({
	routes, services, workspaces, ...settings
}: ServingConfiguration): unknown {
	const order = (list: readonly unknown[] | undefined) => list?.map(item => JSON.stringify(item)).toSorted();
	return {
		...settings, routes: order(routes), services: order(services), workspaces: order(workspaces),
	};
}

// Guards against an entry that serves by another configuration than the operator's after it has applied changes.
await t.test('changes lead to the same configuration as the whole one', async t => {
	let deltas = 0;
	fc.assert(fc.property(pairs, ([before, after]) => {
		const base = hold(before, 1);
		const target = hold(after, 2);
		t.strictSame(applyDelta(decode(encodeDelta(createWholeDelta(target))), undefined), target.configuration);
		const delta = createDelta(base, target);
		if (delta !== undefined) {
			deltas += 1;
			t.strictSame(sort(applyDelta(decode(encodeDelta(delta)), base.configuration)), sort(target.configuration));
		}
	}), {numRuns: runs, seed});
	t.ok(deltas > 10, `${deltas} pairs had changes that could be sent`);
});

// Guards against a route whose host differs in case only from another one, of which the wrong one is found after a change.
await t.test('configurations with routes of one host in two spellings are sent whole', async t => {
	const base = hold({routes: [createRoute('a', '/x/', 1), createRoute('b', '/x/', 1)], services: [], limits}, 1);
	const target = hold({routes: [createRoute('a', '/x/', 1), createRoute('A', '/x/', 1), createRoute('b', '/x/', 1)], services: [], limits}, 2);
	t.equal(createDelta(base, target), undefined);
	t.equal(createDelta(target, base), undefined);
});

// Guards against an entry that decodes a large configuration in one long step.
await t.test('a large configuration consists of blocks of limited size', async t => {
	const many = Array.from({length: 2000}, (_, index) => createRoute('a', `/${index}/`, 1));
	const {configuration, digest} = hold({routes: many, services: [], limits}, 1);
	const bytes = encodeDelta(createWholeDelta({configuration, digest}));
	const characters = JSON.stringify(configuration).length;
	t.ok(countBlocks(bytes) >= Math.floor(characters / blockCharacters), `${countBlocks(bytes)} blocks`);
	t.strictSame(applyDelta(decode(bytes), undefined), configuration);
});

// Guards against an entry that fails in an unforeseen way on bytes that were changed or cut off on the way.
await t.test('bytes that are no encoded configuration are refused', async t => {
	const bytes = encodeDelta(createWholeDelta(hold({routes: [createRoute('a', '/', 1)], services: [], limits}, 1)));
	t.throws(() => decode(new Uint8Array()), ProtocolError);
	t.throws(() => decode(bytes.subarray(0, -1)), ProtocolError);
	t.throws(() => decode(Buffer.concat([bytes.subarray(0, 10), Buffer.alloc(bytes.length - 10)])), ProtocolError);
});
