/** Planned stops in turn and sudden deaths of hosts, as separate processes, under load. */
import path from 'node:path';
import {writeFileSync} from 'node:fs';
import {setTimeout as delay} from 'node:timers/promises';
import t, {type Test} from 'tap';
import {request} from 'undici';
import {demoConfiguration, demoKey} from '@mulberrypitch/config/defaults';
import {getPrompt, getToken} from '@mulberrypitch/fakes/engine-server';
import {HostProcesses, waitForExit} from './host-processes.js';

const tokenCount = 120;
const limitMs = 120_000;
const authorization = `Bearer ${demoKey}`;
const hostCount = 4;

t.setTimeout(limitMs);

async function startHosts(t: Test, network: number): Promise<HostProcesses> {
	const folder = t.testdir();
	const processes = new HostProcesses(folder, network);
	t.teardown(async () => processes.dispose());
	await processes.start(hostCount);
	const base = path.join(folder, 'base.ini');
	writeFileSync(base, demoConfiguration);
	const applied = await processes.run('config', 'apply', base, '--host', processes.hosts[0]!.address, '--json');
	t.equal(applied.code, 0, applied.stderr);
	for (const zone of ['palermo', 'catania']) {
		processes.startBackend('engine', {id: `engine-${zone}`, zone, service: 'advice'});
	}

	await Promise.all(processes.hosts.map(async host => processes.waitFor(host, '/readyz')));
	return processes;
}

/** Asks one host for a document, follows redirects, and gives the response. */
async function ask(address: string, prompt: string) {
	const url = `${address}/v1/completions`;
	const options = {
		method: 'POST',
		headers: {authorization, 'content-type': 'application/json'},
		body: JSON.stringify({
			// eslint-disable-next-line @typescript-eslint/naming-convention -- The wire format's own name.
			model: 'advice', prompt, max_tokens: tokenCount, stream: true,
		}),
	} as const;
	const response = await request(url, options);
	if (response.statusCode !== 307) {
		return response;
	}

	await response.body.dump();
	return request(String(response.headers.location), options);
}

function getContent(events: string): string {
	return [...events.matchAll(/"content":"(?<token>[^"]*)"/gv)].map(({groups}) => groups!.token).join('');
}

function getExpected(prompt: string): string {
	return Array.from({length: tokenCount}, (_, position) => getToken(getPrompt({prompt}), position)).join('');
}

await t.test('each host is stopped and started in turn under load, and nothing is cut off', async t => {
	const processes = await startHosts(t, 41);
	const state = {isLoading: true, redirected: 0};
	const results: boolean[] = [];
	const callers = processes.hosts.map(async ({address}, index) => {
		for (let count = 0; state.isLoading; count += 1) {
			const prompt = `plan ${index}/${count}`;
			try {
				const response = await ask(address, prompt);
				if (response.statusCode !== 200) {
					await response.body.dump();
					await delay(100);
					continue;
				}

				results.push(getContent(await response.body.text()) === getExpected(prompt));
			} catch (error) {
				// A host that has stopped refuses connections; an answer that has begun must not break.
				if (!(error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED')) {
					results.push(false);
				}

				await delay(100);
			}
		}
	});
	for (let index = 0; index < hostCount; index += 1) {
		const host = processes.hosts[index]!;
		host.child.kill('SIGTERM');
		t.equal(await waitForExit(host.child), 0, `${host.name} stopped`);
		await processes.waitFor(processes.startHost(index), '/readyz');
	}

	state.isLoading = false;
	await Promise.all(callers);
	t.ok(results.length > hostCount);
	t.equal(results.filter(isWhole => !isWhole).length, 0, `${results.length} answers were whole`);
});

await t.test('a host that drains redirects callers that kept its address', async t => {
	const processes = await startHosts(t, 42);
	const last = processes.hosts[3]!;
	const running = ask(last.address, 'long plan');
	await delay(200);
	last.child.kill('SIGTERM');
	await delay(300);
	const redirected = await request(`${last.address}/v1/completions`, {
		method: 'POST', headers: {authorization, 'content-type': 'application/json'}, body: JSON.stringify({model: 'advice', prompt: 'x'}),
	});
	await redirected.body.dump();
	t.equal(redirected.statusCode, 307);
	const response = await running;
	t.equal(getContent(await response.body.text()), getExpected('long plan'));
	t.equal(await waitForExit(last.child), 0);
});

await t.test('Caltanissetta plan: the holder is killed, and the caller gets the rest elsewhere, each byte once', async t => {
	const processes = await startHosts(t, 43);
	const [first] = processes.hosts;
	const last = processes.hosts[3]!;
	const response = await ask(last.address, 'maintenance plan');
	const requestId = String(response.headers['x-request-id']);
	let events = '';
	try {
		for await (const part of response.body) {
			events += String(part);
			if (getContent(events).length > 100) {
				last.child.kill('SIGKILL');
			}
		}
	} catch {
		// The connection breaks with its host.
	}

	const whole = events.slice(0, events.lastIndexOf('\n\n') + 2);
	const lastId = [...whole.matchAll(/^id: (?<id>\d+)$/gmv)].at(-1)!.groups!.id!;
	const rest = await request(`${first!.address}/v1/requests/${requestId}`, {headers: {authorization, 'last-event-id': lastId}});
	const text = await rest.body.text();
	t.equal(getContent(whole) + getContent(text), getExpected('maintenance plan'));
	t.ok(text.endsWith('data: [DONE]\n\n'));
});
