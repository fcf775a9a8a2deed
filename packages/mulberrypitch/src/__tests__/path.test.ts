/** The whole path, as separate processes of the binary. */
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

async function stream(address: string, prompt: string): Promise<string> {
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

function getExpected(prompt: string): string {
	return Array.from({length: tokenCount}, (_, position) => getToken(getPrompt({prompt}), position)).join('');
}

await t.test('serves a document and a booking over seven hosts, and a stopped host cuts off nothing', async t => {
	const folder = t.testdir();
	const processes = new HostProcesses(folder, 31);
	t.teardown(async () => processes.dispose());
	await processes.start(7);
	const [first] = processes.hosts;
	const base = path.join(folder, 'base.ini');
	writeFileSync(base, demoConfiguration);
	const applied = await processes.run('config', 'apply', base, '--host', first!.address, '--json');
	t.equal(applied.code, 0, applied.stderr);
	for (const zone of ['palermo', 'catania']) {
		processes.startBackend('engine', {id: `engine-${zone}`, zone, service: 'advice'});
	}

	processes.startBackend('plain', {id: 'desk', zone: 'palermo', service: 'bookings'});
	await Promise.all(processes.hosts.map(async host => processes.waitFor(host, '/readyz')));
	await waitUntil('all back ends are known', async () => {
		const {stdout} = await processes.run('status', '--host', first!.address, '--json');
		return assumeType<{backends: unknown[]}>(JSON.parse(stdout)).backends.length === 3;
	});

	const list = await request(`${first!.address}/v1/entries`);
	const {entries} = assumeType<{entries: Array<{address: string}>}>(await list.body.json());
	t.equal(entries.length, 7);

	const prompts = processes.hosts.map(host => `Plan of ${host.name}`);
	const answers = processes.hosts.map(async (host, index) => stream(host.address, prompts[index]!));
	const stopped = processes.hosts[3]!;
	await waitUntil('the host holds its request', async () => {
		const {stdout} = await processes.run('status', '--host', stopped.address, '--json');
		return assumeType<{running: number}>(JSON.parse(stdout)).running === 1;
	});
	stopped.child.kill('SIGTERM');
	const whole = await Promise.all(answers);
	for (const [index, answer] of whole.entries()) {
		t.equal(getContent(answer), getExpected(prompts[index]!), `${prompts[index]} is whole`);
		t.ok(answer.endsWith('data: [DONE]\n\n'));
	}

	t.equal(await waitForExit(stopped.child), 0);

	const book = async (address: string) => {
		const response = await request(`${address}/v1/services/bookings/book`, {
			method: 'POST', headers: {authorization, 'idempotency-key': 'ragusa-1'}, body: '{}',
		});
		return response.body.text();
	};

	t.equal(await book(entries[0]!.address === stopped.address ? first!.address : entries[0]!.address), await book(first!.address), 'a resend gets the first answer');

	const shown = await processes.run('account', 'show', '--host', first!.address, '--json');
	const records = assumeType<Array<{kind: string; service: string}>>(JSON.parse(shown.stdout));
	t.equal(records.filter(({kind}) => kind === 'finished').length, 8);
	t.equal(records.filter(({kind, service}) => kind === 'dispatched' && service === 'bookings').length, 1);
	const verified = await processes.run('account', 'verify', '--host', first!.address);
	t.equal(verified.code, 0, verified.stderr);
});
