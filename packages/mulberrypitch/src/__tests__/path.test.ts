/** End-to-end test of completions, a booking and a planned stop, with every host as a process of the binary. */
import path from 'node:path';
import {writeFileSync} from 'node:fs';
import t from 'tap';
import {request} from 'undici';
import {demoConfiguration, demoKey} from '@mulberrypitch/config/defaults';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {getPrompt, getToken} from '@mulberrypitch/fakes/engine-server';
import {HostProcesses, waitForExit, waitUntil} from './host-processes.js';

const tokenCount = 150;
const authorization = `Bearer ${demoKey}`;

async function streamCompletion(address: string, prompt: string): Promise<string> {
	const response = await request(`${address}/v1/chat/completions`, {
		method: 'POST',
		headers: {authorization, 'content-type': 'application/json'},
		body: JSON.stringify({
			// eslint-disable-next-line @typescript-eslint/naming-convention -- The wire format's own name.
			model: 'advice', prompt, max_tokens: tokenCount, stream: true,
		}),
	});
	return response.body.text();
}

function getContent(events: string): string {
	return [...events.matchAll(/"content":"(?<token>[^"]*)"/gv)].map(({groups}) => groups!.token).join('');
}

function getExpectedContent(prompt: string): string {
	return Array.from({length: tokenCount}, (_, position) => getToken(getPrompt({prompt}), position)).join('');
}

await t.test('serves completions and a booking through seven hosts, and stopping a host interrupts no request', async t => {
	const processes = new HostProcesses(t, 31);
	const {folder} = processes;
	await processes.start(7);
	const [first] = processes.hosts;
	const baseFile = path.join(folder, 'base.ini');
	writeFileSync(baseFile, demoConfiguration);
	const applied = await processes.run('config', 'apply', baseFile, '--host', first!.address, '--json');
	t.equal(applied.code, 0, applied.stderr);
	for (const zone of ['palermo', 'catania']) {
		processes.startBackend('engine', {id: `engine-${zone}`, zone, service: 'advice'});
	}

	processes.startBackend('plain', {id: 'desk', zone: 'palermo', service: 'bookings'});
	await Promise.all(processes.hosts.map(async host => processes.waitFor(host, '/readyz')));
	await waitUntil('all back ends are registered', async () => {
		const {stdout} = await processes.run('status', '--host', first!.address, '--json');
		return assumeType<{backends: unknown[]}>(JSON.parse(stdout)).backends.length === 3;
	});

	const entriesResponse = await request(`${first!.address}/v1/entries`);
	const {entries} = assumeType<{entries: Array<{address: string}>}>(await entriesResponse.body.json());
	t.equal(entries.length, 7);

	const prompts = processes.hosts.map(host => `Plan of ${host.name}`);
	const pendingStreams = processes.hosts.map(async (host, index) => streamCompletion(host.address, prompts[index]!));
	const stopped = processes.hosts[3]!;
	await waitUntil('the host is serving its request', async () => {
		const {stdout} = await processes.run('status', '--host', stopped.address, '--json');
		return assumeType<{running: number}>(JSON.parse(stdout)).running === 1;
	});
	stopped.child.kill('SIGTERM');
	const streams = await Promise.all(pendingStreams);
	for (const [index, streamText] of streams.entries()) {
		t.equal(getContent(streamText), getExpectedContent(prompts[index]!), `${prompts[index]} is complete`);
		t.ok(streamText.endsWith('data: [DONE]\n\n'));
	}

	t.equal(await waitForExit(stopped.child), 0);

	const book = async (address: string) => {
		const response = await request(`${address}/v1/services/bookings/book`, {
			method: 'POST', headers: {authorization, 'idempotency-key': 'ragusa-1'}, body: '{}',
		});
		return response.body.text();
	};

	t.equal(await book(entries[0]!.address === stopped.address ? first!.address : entries[0]!.address), await book(first!.address), 'a retry with the same idempotency key gets the first response');

	const shown = await processes.run('account', 'show', '--host', first!.address, '--json');
	const records = assumeType<Array<{kind: string; service: string}>>(JSON.parse(shown.stdout));
	t.equal(records.filter(({kind}) => kind === 'finished').length, 8);
	t.equal(records.filter(({kind, service}) => kind === 'dispatched' && service === 'bookings').length, 1);
	const verified = await processes.run('account', 'verify', '--host', first!.address);
	t.equal(verified.code, 0, verified.stderr);
});
