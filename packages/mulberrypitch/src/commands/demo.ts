/**
`mulberrypitch demo`: runs three hosts and emulated back ends in one process, and reclaims an engine while it streams a response.
*/
import {createHash, randomUUID} from 'node:crypto';
import type {CAC} from 'cac';
import {request} from 'undici';
import {verifyChain} from '@mulberrypitch/account/chain';
import type {AccountRecord} from '@mulberrypitch/account/types';
import {demoConfiguration, demoKey, hostDefaults} from '@mulberrypitch/config/defaults';
import type {HostSettings} from '@mulberrypitch/config/types';
import {InvariantError} from '@mulberrypitch/errors/catalogue';
import {Announcer} from '@mulberrypitch/fakes/announcer';
import {EngineServer, getPrompt, getToken} from '@mulberrypitch/fakes/engine-server';
import {MemoryNetwork} from '@mulberrypitch/fakes/memory-transport';
import {PlainServer} from '@mulberrypitch/fakes/plain-server';
import {Host} from '@mulberrypitch/host/host';
import {SystemClock, type Clock} from '@mulberrypitch/lifecycle/clock';
import {DisposableStore} from '@mulberrypitch/lifecycle/disposable-store';
import {SeededRandom} from '@mulberrypitch/lifecycle/random';
import {ConsoleLogger, SilentLogger} from '@mulberrypitch/logger/logger';
import {callOperatorApi, type OperatorEndpoint} from '../operator-client.js';
import {writeLine} from '../output.js';
import {writeRecords} from './account.js';

const hostCount = 3;
const engineCount = 3;
const defaultFirstPort = 18_480;
const longAnswerTokens = 200;
const shortAnswerTokens = 12;
const tokenMs = 10;
const firstTokenMs = 30;
const reclaimAfterMs = 700;
const reclaimNoticeMs = 300;
const pollIntervalMs = 50;
const startTimeoutMs = 10_000;

type DemoOptions = {
	readonly port: number;
	readonly verbose?: boolean;
};

type Engines = ReadonlyArray<{readonly server: EngineServer; readonly announcer: Announcer; readonly id: string}>;

/**
Adds the `demo` command to the program.

@example
```
addDemoCommand(program);
```
*/
export function addDemoCommand(program: CAC): void {
	program.command('demo', 'Run three hosts and stand-ins in one process and reclaim a back end in the middle')
		.option('--port <port>', 'First port to use on loopback', {default: defaultFirstPort})
		.option('--verbose', 'Write the log')
		.action(async (options: DemoOptions) => runDemo(options));
}

async function runDemo(options: DemoOptions): Promise<void> {
	const resources = new DisposableStore();
	try {
		await runScenario(options, resources);
	} finally {
		await resources.dispose();
	}
}

async function runScenario(options: DemoOptions, resources: DisposableStore): Promise<void> {
	const clock = new SystemClock();
	const settings = createHostSettings(options.port);
	const hosts = await startHosts(settings, clock, resources, options);
	const entries = settings.map(host => host.publicAddress);
	const endpoint: OperatorEndpoint = {host: entries[0]!, token: hostDefaults.loopbackSecret};
	await callOperatorApi(endpoint, 'POST', '/v1/admin/configuration', {
		changeId: randomUUID(), expectedRevision: 0, operator: 'demo', base: demoConfiguration, overlays: {},
	});
	const engines = await startEngines(entries, clock, resources);
	const plain = resources.add(new PlainServer({
		host: '127.0.0.1', port: 0, answerMs: tokenMs, clock,
	}));
	resources.add(new Announcer({
		id: 'desk-1', address: await plain.listen(), zone: 'zone-1', services: ['bookings'], kind: 'plain', slots: 8, entries, token: hostDefaults.loopbackSecret, clock,
	}));
	await waitUntil(clock, async () => hosts.every(host => host.isReady()));
	await waitUntil(clock, async () => hasBackendCount(endpoint, engineCount + 1));
	writeLine(`${hostCount} hosts in 3 zones, ${engineCount} engines and a booking service are up.`);
	await sendRequests({
		entries, engines, plain, clock,
	});
	await showAccount(endpoint);
}

async function sendRequests({entries, engines, plain, clock}: {entries: string[]; engines: Engines; plain: PlainServer; clock: Clock}): Promise<void> {
	const longAnswer = streamCompletion(entries[0]!, 'Write the maintenance plan of a clinic.', longAnswerTokens);
	await clock.sleep(reclaimAfterMs);
	const shortAnswer = streamCompletion(entries[1]!, 'What does this smell mean?', shortAnswerTokens);
	const booking = bookTwice(entries[2]!);
	const busyEngine = engines.find(engine => engine.server.running > 0)!;
	writeLine(`Reclaiming ${busyEngine.id}, ${reclaimNoticeMs} ms notice, while it writes the long document.`);
	await busyEngine.announcer.announceShutdown(reclaimNoticeMs);
	await clock.sleep(reclaimNoticeMs);
	await busyEngine.announcer.dispose();
	busyEngine.server.dispose();
	writeLine(`Short answer: ${await shortAnswer} tokens, whole.`);
	writeLine(`Booking: ${await booking}; run ${plain.calls.length} time(s), sent twice with one key.`);
	writeLine(`Long document: ${await longAnswer} tokens, whole, across the reclaim.`);
}

async function showAccount(endpoint: OperatorEndpoint): Promise<void> {
	const {records} = await callOperatorApi<{records: AccountRecord[]}>(endpoint, 'GET', '/v1/admin/account');
	writeRecords(records);
	const head = verifyChain(records);
	writeLine(`The account verifies: ${head.sequence} records, head ${head.hash}.`);
}

function createHostSettings(basePort: number): HostSettings[] {
	const replicas = Array.from({length: hostCount}, (_, index) => ({name: `host-${index + 1}`, address: `host-${index + 1}`}));
	return replicas.map(({name}, index) => ({
		name,
		site: 'demo',
		zone: `zone-${index + 1}`,
		region: 'region-1',
		roles: ['entry', 'control'],
		httpListen: `127.0.0.1:${basePort + index}`,
		peerListen: name,
		publicAddress: `http://127.0.0.1:${basePort + index}`,
		group: hostDefaults.group,
		replicas,
		peerSecret: hostDefaults.loopbackSecret,
		operatorToken: hostDefaults.loopbackSecret,
		backendToken: hostDefaults.loopbackSecret,
		logLevel: 'info',
		entriesTtlSeconds: Number(hostDefaults.entriesTtlSeconds),
	}));
}

async function startHosts(settings: HostSettings[], clock: Clock, resources: DisposableStore, options: DemoOptions): Promise<Host[]> {
	const network = new MemoryNetwork(clock);
	const hosts: Host[] = [];
	for (const [index, host] of settings.entries()) {
		const logger = options.verbose === true ? new ConsoleLogger({level: 'info', fields: {node: host.name}}) : new SilentLogger();
		hosts.push(resources.add(new Host({
			settings: host, transport: network.join(host.peerListen), clock, random: new SeededRandom(index + 1), logger,
		})));
	}

	await Promise.all(hosts.map(async host => host.start()));
	return hosts;
}

async function startEngines(entries: string[], clock: Clock, resources: DisposableStore): Promise<Engines> {
	return Promise.all(Array.from({length: engineCount}, async (_, index) => {
		const server = resources.add(new EngineServer({
			host: '127.0.0.1', port: 0, firstTokenMs, tokenMs, clock,
		}));
		const id = `engine-${index + 1}`;
		const announcer = resources.add(new Announcer({
			id, address: await server.listen(), zone: `zone-${index + 1}`, services: ['advice'], kind: 'engine', slots: 8, entries, token: hostDefaults.loopbackSecret, clock,
		}));
		return {server, announcer, id};
	}));
}

/** Requests a streamed completion and returns the number of its tokens. Throws if a token is missing or wrong. */
async function streamCompletion(entry: string, prompt: string, maxTokens: number): Promise<number> {
	const response = await request(`${entry}/v1/chat/completions`, {
		method: 'POST',
		headers: {authorization: `Bearer ${demoKey}`, 'content-type': 'application/json'},
		body: JSON.stringify({
			// eslint-disable-next-line @typescript-eslint/naming-convention -- The wire format's own name.
			model: 'advice', prompt, max_tokens: maxTokens, stream: true,
		}),
	});
	const text = await response.body.text();
	const tokens = [...text.matchAll(/"content":"([^"]*)"/gv)].map(match => match[1]!);
	const expected = Array.from({length: maxTokens}, (_, position) => getToken(getPrompt({prompt}), position));
	if (!text.endsWith('data: [DONE]\n\n') || tokens.join('') !== expected.join('')) {
		throw new InvariantError(`The answer to "${prompt}" is incomplete or wrong.`);
	}

	return tokens.length;
}

/** Sends one booking twice at the same time with the same idempotency key. Returns the response, or throws when the two responses differ. */
async function bookTwice(entry: string): Promise<string> {
	const key = createHash('sha256').update('demo booking').digest('hex');
	const send = async () => {
		const response = await request(`${entry}/v1/services/bookings/book`, {
			method: 'POST',
			headers: {authorization: `Bearer ${demoKey}`, 'content-type': 'application/json', 'idempotency-key': key},
			body: JSON.stringify({place: 'Ragusa', day: '2026-03-19'}),
		});
		return response.body.text();
	};

	const [first, second] = await Promise.all([send(), send()]);
	if (first !== second) {
		throw new InvariantError('The two responses to one booking differ.');
	}

	return first;
}

async function hasBackendCount(endpoint: OperatorEndpoint, expected: number): Promise<boolean> {
	const {backends} = await callOperatorApi<{backends: unknown[]}>(endpoint, 'GET', '/v1/admin/status');
	return backends.length === expected;
}

async function waitUntil(clock: Clock, isReached: () => Promise<boolean>): Promise<void> {
	const startedAt = clock.now();
	while (!await isReached()) {
		if (clock.now() - startedAt > startTimeoutMs) {
			throw new InvariantError('The demo did not start in time.');
		}

		await clock.sleep(pollIntervalMs);
	}
}
