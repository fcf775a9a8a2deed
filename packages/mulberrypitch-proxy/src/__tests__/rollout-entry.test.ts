/** Tests a roll-out at a whole entry, with a stand-in for the coordinators and back ends of two versions on loopback. */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import net from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import t, {type Test} from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {SeededRandom} from '@mulberrypitch/lifecycle/random';
import {events, type CataloguedEvent} from '@mulberrypitch/logger/events';
import {MetricsRegistry} from '@mulberrypitch/metrics/registry';
import type {Rollout} from '@mulberrypitch/serving/rollout-messages';
import type {ServingConfiguration} from '@mulberrypitch/serving/types';
import type {EntryStatus, ViewReply, ViewRequest} from '@mulberrypitch/serving/view-messages';
import type {Transport} from '@mulberrypitch/transport/types';
import {Entry} from '../entry.js';
import type {HeaderNames} from '../types.js';
import {listen} from './loopback.js';
import {createRollout} from './versioned-requests.js';

const host = '127.0.0.1';
const service = 's';
const versions = ['v1', 'v1', 'v2'];
const requestCount = 60;
const rolloutEvents = new Set<number>([events.rolloutInForce.number, events.rolloutHeld.number, events.rolloutResumed.number]);
/** Number of event-loop turns after which virtual time advances while a request waits, and by how many milliseconds. */
const turnsBetweenSteps = 20;
const stepMs = 5;
const pollMs = 100;
const firstEvents = 'id: 1\ndata: a\n\n';
const lastEvents = 'id: 2\ndata: b\n\n';

const names: HeaderNames = {
	attemptId: 'x-attempt', deadline: 'x-deadline', signature: 'x-signature', notRun: 'x-not-run', expectedBackend: 'x-backend', workspace: 'x-workspace',
	lastEventId: 'last-event-id', resumedAttempt: 'x-resumed', tokenCount: 'x-tokens', promptParts: 'x-parts', backendPriority: 'x-priority', hop: 'x-hop', reserved: [],
};

const route = {
	host: 'callers.example', timeoutMs: 3000, targetLatencyMs: 1000, targetPauseMs: 500, priority: 0, targets: [{service, weight: 1}], maxAttempts: 2, isPublic: true,
};
const configuration = assumeType<ServingConfiguration>({
	version: 1,
	routes: [
		{
			...route, name: 'look-up', pathPrefix: '/look-up/', kind: 'idempotent', hasSharedPrompts: false, isResumable: false,
		},
		{
			...route, name: 'stream', pathPrefix: '/stream/', kind: 'streaming', hasSharedPrompts: true, isResumable: true,
		},
	],
	services: [{name: service, healthPath: '/health', maxConnections: 100}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3000, idleTimeoutMs: 60_000,
	},
});

type Answer = {
	readonly status: number;
	readonly body: string;
};

/** What the stand-ins do, which a test changes as it goes on. */
type State = {
	rollouts: readonly Rollout[] | undefined;
	/** Whether the coordinator answers. */
	isReachable: boolean;
	isInTouch: boolean;
	/** Versions of which the back ends answer with status 500, and those that break off streams after their first event. */
	failing: readonly string[];
	breaking: readonly string[];
	/** Called when a stream that breaks off begins, and the time in milliseconds after which it does. */
	onBroken: () => void;
	breakAfterMs: number;
	suspendedMs: number;
	status: EntryStatus | undefined;
	/** Versions of the back ends that requests reached, in order. */
	arrivals: string[];
	/** Numbers of the logged events of roll-outs. */
	readonly logged: number[];
};

/** Returns the response of a back end of a version to a request. */
function respond(state: State, version: string, request: string): string {
	const attemptId = /^x-attempt: (?<id>.*)\r$/imv.exec(request)?.groups?.id ?? '';
	const head = (status: number) => `HTTP/1.1 ${status} Status\r\nx-attempt: ${attemptId}\r\nx-signature: ${version}\r\n`;
	if (state.failing.includes(version)) {
		return `${head(500)}Content-Length: 0\r\n\r\n`;
	}

	if (request.startsWith('POST /look-up/')) {
		return `${head(200)}Content-Length: 2\r\n\r\n${version}`;
	}

	const isResumed = /^last-event-id:/imv.test(request);
	const isBroken = state.breaking.includes(version);
	const events = `${isResumed ? '' : firstEvents}${isBroken ? 'id: 2\n' : lastEvents}`;
	const end = isBroken ? '' : '0\r\n\r\n';
	return `${head(200)}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n${events.length.toString(16)}\r\n${events}\r\n${end}`;
}

/** Starts a back end of a version, and resolves with its address. */
async function startVersion(t: Test, state: State, {version, clock}: {readonly version: string; readonly clock: VirtualClock}): Promise<string> {
	const sockets = new Set<net.Socket>();
	const answer = async (socket: net.Socket, text: string) => {
		const response = respond(state, version, text);
		state.arrivals.push(version);
		socket.write(response);
		if (response.includes('chunked') && !response.endsWith('0\r\n\r\n')) {
			state.onBroken();
			await clock.sleep(state.breakAfterMs);
			socket.end();
		}
	};

	t.teardown(() => {
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	const port = await listen(t, net.createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => {
			// The entry resets connections of streams that broke off.
		});
		socket.on('data', data => {
			void answer(socket, data.toString('latin1'));
		});
	}));
	return `${host}:${port}`;
}

/** Starts an entry that polls one coordinator, which names two back ends of v1 and one of v2. */
async function startEntry(t: Test) {
	const clock = new VirtualClock();
	const state: State = {
		rollouts: undefined, isReachable: true, isInTouch: true, failing: [], breaking: [], suspendedMs: 0, breakAfterMs: 0, status: undefined, arrivals: [], logged: [],
		onBroken() {
			// Nothing changes.
		},
	};
	const addresses = await Promise.all(versions.map(async version => startVersion(t, state, {version, clock})));
	const entries = versions.map((version, index) => ({
		backend: {
			id: `i-${index}`, startedAt: 1, sequence: 1, service, address: addresses[index]!, zone: 'z', version, slots: 8, isLeaving: false, isSpot: false,
		},
		isGone: false,
		ageMs: 0,
	}));
	const createReply = (): ViewReply => assumeType<ViewReply>({
		configuration: {version: 1, document: ''},
		roster: {
			epoch: 'e', version: 1, isWhole: true, isSettled: true, ageMs: 60_000, entries,
		},
		loads: {}, othersSpent: {}, verdict: {suspects: [], quarantined: []}, origins: {epoch: 'e', position: 0, groups: []}, entryCount: 1, coordinators: ['c'],
		isInTouch: state.isInTouch,
		...(state.rollouts !== undefined && {rollouts: state.rollouts}),
	});
	const metrics = new MetricsRegistry();
	const entry = new Entry({
		name: 'front', zone: 'z', listen: `${host}:0`, getSeeds: () => ['c'], names, clock, random: new SeededRandom(1), logger: {
			log({number}: CataloguedEvent) {
				if (rolloutEvents.has(number)) {
					state.logged.push(number);
				}
			},
		}, metrics,
		transport: assumeType<Transport>({
			async call(_: string, __: string, request: ViewRequest) {
				await clock.sleep(pollMs);
				if (!state.isReachable) {
					throw new TypeError('The coordinator is cut off.');
				}

				state.status = request.status;
				return createReply();
			},
		}),
		decode: () => configuration,
		decodeStatement: () => ({isLeaving: false}),
		retryBudget: {ratio: 1, slack: 1000, windowMs: 10_000},
		quotaTolerance: {part: 0.1, units: 1000, windowMs: 8000},
		usageWindowMs: 5000, drainMs: 1000, graceMs: 2000,
		getBootTime: () => clock.now() + state.suspendedMs,
	});
	const port = await entry.start();
	t.teardown(async () => {
		const disposed = entry.dispose();
		await clock.runFor(1000);
		await disposed;
	});
	await clock.runFor(500);
	let sent = 0;
	const settle = async <Value>(promise: Promise<Value>): Promise<Value> => {
		const ended = {isEnded: false};
		void promise.finally(() => {
			ended.isEnded = true;
		});
		for (let turn = 1; !ended.isEnded; turn += 1) {
			await nextTurn();
			if (turn % turnsBetweenSteps === 0) {
				await clock.runFor(stepMs);
			}
		}

		return promise;
	};

	const send = async (path: string, headers: Readonly<Record<string, string>> = {}): Promise<Answer> => {
		sent += 1;
		return settle(request(port, path, {[names.attemptId]: `a-${sent}`, ...headers}));
	};

	/** Sends requests, and returns the answers and the versions that they reached. */
	const sendMany = async (path: string, count = requestCount) => {
		state.arrivals = [];
		const answers: Answer[] = [];
		for (let index = 0; index < count; index += 1) {
			answers.push(await send(path));
		}

		return {statuses: new Set(answers.map(({status}) => status)), arrivals: state.arrivals, toTarget: state.arrivals.filter(version => version === 'v2').length};
	};

	/** Makes a roll-out known to the entry. */
	const apply = async (changes: Partial<Rollout>) => {
		state.rollouts = [createRollout(changes)];
		await clock.runFor(3 * pollMs);
	};

	/** Returns the number of some requests that reach the target. */
	const countTarget = async (count?: number) => {
		const {toTarget} = await sendMany('/look-up/x', count);
		return toTarget;
	};

	return {
		clock, state, metrics, send, sendMany, countTarget, apply,
	};
}

async function request(port: number, path: string, headers: Readonly<Record<string, string>>): Promise<Answer> {
	return new Promise(resolve => {
		const sending = http.request({
			host, port, path, method: 'POST', agent: false, headers: {host: 'callers.example', ...headers},
		}, response => {
			let body = '';
			response.on('data', (data: Uint8Array) => {
				body += Buffer.from(data).toString();
			});
			response.on('error', () => {
				// The close event follows.
			});
			response.once('close', () => {
				resolve({status: response.complete ? response.statusCode! : 0, body});
			});
		});
		sending.once('error', () => {
			resolve({status: 0, body: ''});
		});
		sending.end();
	});
}

// Guards against an entry that assigns, retries or reports otherwise than the parts of the roll-out do by themselves.
await t.test('an entry sends the target its share, repeats its failures elsewhere, and reports both sides', async t => {
	const {clock, state, metrics, sendMany, apply} = await startEntry(t);
	const before = await sendMany('/look-up/x');
	t.ok(before.toTarget > 10 && before.toTarget < 40, `${before.toTarget} without a roll-out`);
	t.notOk(state.status && 'rollouts' in state.status);
	await apply({share: 0.3});
	const sound = await sendMany('/look-up/x');
	t.ok(sound.toTarget > 8 && sound.toTarget < 30, `${sound.toTarget} of ${requestCount}`);
	await clock.runFor(3 * pollMs);
	const [evidence] = state.status!.rollouts!;
	t.match(evidence, {
		rollout: 7, revision: 1, requests: requestCount, othersRunning: 0, routes: [{
			route: 'look-up',
			target: {
				sent: sound.toTarget, succeeded: sound.toTarget, failed: 0, first: {count: sound.toTarget}, pause: {count: 0},
			},
			others: {sent: requestCount - sound.toTarget, succeeded: requestCount - sound.toTarget, failed: 0},
		}],
	});
	state.failing = ['v2'];
	const failing = await sendMany('/look-up/x');
	t.same([...failing.statuses], [200], 'every failure is repeated');
	t.equal(failing.arrivals.filter((version, index) => version === 'v2' && failing.arrivals[index + 1] !== 'v1').length, 0, 'at another version');
	await clock.runFor(3 * pollMs);
	const later = state.status!.rollouts![0]!.routes[0]!;
	t.equal(later.target.failed, failing.toTarget);
	t.ok(failing.toTarget > 0);
	t.equal(later.others.failed, 0);
	t.match(metrics.write(), /mulberrypitch_entry_rollout_share\{service="s"\} 0\.3/v);
});

// Guards against an entry that sends to a version which the coordinators have closed, or may have.
await t.test('an entry sends nothing to the target with an old view or after a roll-back, and nothing else after completion', async t => {
	const {clock, state, metrics, sendMany, countTarget, apply} = await startEntry(t);
	await apply({share: 0.5});
	t.ok(await countTarget() > 15);
	state.isReachable = false;
	await clock.runFor(2000);
	const stale = await sendMany('/look-up/x');
	t.same([stale.toTarget, ...stale.statuses], [0, 200], 'cut off');
	t.match(metrics.write(), /mulberrypitch_entry_rollout_held\{service="s"\} 1/v);
	state.isReachable = true;
	state.isInTouch = false;
	await clock.runFor(3000);
	t.equal(await countTarget(), 0, 'no leader');
	state.isInTouch = true;
	await clock.runFor(3000);
	t.ok(await countTarget() > 15, 'in touch again');
	t.same(state.logged, [events.rolloutInForce.number, events.rolloutHeld.number, events.rolloutResumed.number]);
	state.suspendedMs = 5000;
	state.isReachable = false;
	await clock.runFor(60);
	t.equal(await countTarget(20), 0, 'suspended');
	state.isReachable = true;
	await clock.runFor(3000);
	await apply({share: 0, revision: 2, state: 'rolledBack'});
	t.equal(await countTarget(), 0, 'rolled back');
	await clock.runFor(3 * pollMs);
	t.notOk('rollouts' in state.status!, 'no roll-out is in progress');
	await apply({id: 8, share: 1});
	const whole = await sendMany('/look-up/x');
	t.equal(whole.toTarget, requestCount, 'a new roll-out');
	await apply({
		id: 8, share: 1, revision: 2, state: 'completed',
	});
	state.isReachable = false;
	await clock.runFor(10_000);
	t.equal(await countTarget(), requestCount, 'completed');
});

// Guards against a stream that goes on at a version which was rolled back, and one that is joined from two versions.
await t.test('a stream of the target goes on there, and ends or is refused once it is rolled back', async t => {
	const {clock, state, send, apply} = await startEntry(t);
	await apply({share: 1});
	state.breaking = ['v2'];
	state.onBroken = () => {
		state.breaking = [];
	};

	t.same(await send('/stream/x'), {status: 200, body: firstEvents + lastEvents});
	t.same(state.arrivals, ['v2', 'v2']);
	state.arrivals = [];
	state.breaking = ['v2'];
	state.onBroken = () => {
		state.rollouts = [createRollout({share: 0, revision: 2, state: 'rolledBack'})];
	};

	state.breakAfterMs = 3 * pollMs;

	const begun = await send('/stream/x', {[names.attemptId]: 'begun'});
	t.equal(begun.status, 0, 'the stream ends');
	t.same(state.arrivals, ['v2'], 'its version gets no further send');
	state.breaking = [];
	state.arrivals = [];
	const sentAt = clock.now();
	const resumed = await send('/stream/x', {[names.lastEventId]: '1', [names.resumedAttempt]: 'begun'});
	t.equal(resumed.status, 503);
	t.same(state.arrivals, []);
	t.ok(clock.now() - sentAt < 100, `${clock.now() - sentAt} ms`);
	t.match(await send('/stream/x'), {status: 200});
	t.same(state.arrivals, ['v1']);
});
