/** Tests how often and for how long a request tries back ends that refuse connections or don't answer. */
import t from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {PeerUnreachableError} from '@mulberrypitch/errors/catalogue';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {BackendConnection} from '../backend-connection.js';
import type {BackendPermit} from '../backend-place.js';
import {ProxiedRequest} from '../proxied-request.js';
import type {ProxiedRequestOptions} from '../proxied-request-options.js';

const deadlineMs = 1000;
/** Number of connection attempts within that time that a caller could profit from. */
const maxAttempts = 30;

function ignore(): void {
	// The test observes connection attempts only.
}

/** Returns a permit for a back end that is connected to as given. */
function createPermit(connect: () => Promise<never>, release: () => void = ignore): BackendPermit {
	return assumeType<BackendPermit>({
		backend: {
			id: 'engine-1', announced: {startedAt: 1, isLeaving: false}, connect, eject: ignore, recordResult: () => false,
		},
		release,
	});
}

/** Returns a request of which only what the test observes is real. */
function createRequest(options: Pick<ProxiedRequestOptions, 'clock' | 'place'> & Partial<Pick<ProxiedRequestOptions, 'signal'>>): ProxiedRequest {
	return new ProxiedRequest(assumeType<ProxiedRequestOptions>({
		route: {kind: 'idempotent', maxAttempts: 2},
		service: 'desk',
		prompt: {tokens: 0, sharedTokens: 0, sharedParts: []},
		content: {
			findRefusal: ignore, beginRun: () => ignore, recordBrokenOff: ignore, recordAnswered: ignore,
		},
		deadlineAt: deadlineMs,
		relay: {hasStarted: false, getBodyFacts: () => ({})},
		logger: {log: ignore},
		signal: new AbortController().signal,
		isTooLate: () => false,
		getStatedWaitMs: () => 0,
		isCutOff: () => false,
		onReleased: ignore,
		takeRetry: () => true,
		getDecisionContext: () => ({configuration: 1, viewAgeMs: 0}),
		onAttemptEnded: ignore,
		onRunStarted: ignore,
		...options,
	}));
}

// Guards against a request that tries to connect as fast as it can until its deadline while every back end is down.
await t.test('a request tries a back end that refuses connections again only after a pause, until its deadline', async t => {
	const clock = new VirtualClock();
	const caller = new AbortController();
	let attempts = 0;
	const connect = async () => {
		attempts += 1;
		if (attempts > maxAttempts) {
			caller.abort();
		}

		throw new PeerUnreachableError('engine-1');
	};

	const request = createRequest({clock, signal: caller.signal, place: async () => createPermit(connect)});
	const running = request.run();
	await clock.runFor(deadlineMs);
	t.match(await running, {kind: 'refused'});
	t.ok(attempts > 1 && attempts <= maxAttempts, `${attempts} attempts`);
});

// Guards against a request that is still connecting after its deadline, by which a planned stop reckons that each request has ended.
await t.test('a request whose back end accepts no connection ends at its deadline', async t => {
	const clock = new VirtualClock();
	const connectTimeoutMs = 300;
	const leftMs = 10;
	const connect = async () => {
		await clock.sleep(connectTimeoutMs);
		throw new PeerUnreachableError('engine-1');
	};

	const request = createRequest({
		clock,
		async place() {
			await clock.sleep(deadlineMs - leftMs);
			return createPermit(connect);
		},
	});
	let endedAt = Number.POSITIVE_INFINITY;
	void request.run().then(() => {
		endedAt = clock.now();
	});
	await clock.runFor(deadlineMs + connectTimeoutMs);
	t.equal(endedAt, deadlineMs);
});

// Guards against requests that are closed without an answer, since a back end is listed with a port that can't be.
await t.test('an address to which no connection is possible counts as unreachable', async t => {
	for (const port of ['0', '65536', '99999', '-1', '1.5', 'x', '']) {
		await t.rejects(BackendConnection.open({
			address: `127.0.0.1:${port}`, connectTimeoutMs: deadlineMs, attemptHeader: 'attempt', onClosed: ignore, onIdle: ignore, onHead: ignore, now: () => 0,
		}), {code: 'peer_unreachable'}, port);
	}
});

// Guards against a back end whose slots are all taken by requests that have ended with an unforeseen error.
await t.test('a permit is given back when an attempt ends with an error', async t => {
	let released = 0;
	const connect = async () => {
		throw new RangeError('unforeseen');
	};

	const request = createRequest({
		clock: new VirtualClock(),
		place: async () => createPermit(connect, () => {
			released += 1;
		}),
	});
	await t.rejects(request.run(), {message: 'unforeseen'});
	t.equal(released, 1);
});
