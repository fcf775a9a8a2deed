/** Tests of rolling restarts, draining and a killed host, with hosts as separate processes that serve requests. */
import path from 'node:path';
import {writeFileSync} from 'node:fs';
import {setTimeout as delay} from 'node:timers/promises';
import t, {type Test} from 'tap';
import {request} from 'undici';
import {demoConfiguration, demoKey} from '@mulberrypitch/config/defaults';
import {getPrompt, getToken} from '@mulberrypitch/fakes/engine-server';
import {readStatus} from './booking-cluster.js';
import {HostProcesses, waitForExit, waitUntil} from './host-processes.js';

const tokenCount = 120;
/** Inter-token latency in milliseconds at which an answer takes longer than a stop that waits for no callers. */
const slowTokenMs = 100;
const testTimeoutMs = 120_000;
const authorization = `Bearer ${demoKey}`;
const hostCount = 4;

t.setTimeout(testTimeoutMs);

async function startHosts(t: Test, networkOctet: number, tokenMs = 10, stopTimeoutSeconds?: number): Promise<HostProcesses> {
	const processes = new HostProcesses(t, networkOctet);
	processes.stopTimeoutSeconds = stopTimeoutSeconds;
	const {folder} = processes;
	await processes.start(hostCount);
	const baseFile = path.join(folder, 'base.ini');
	writeFileSync(baseFile, demoConfiguration);
	const applied = await processes.run('config', 'apply', baseFile, '--host', processes.hosts[0]!.address, '--json');
	t.equal(applied.code, 0, applied.stderr);
	for (const zone of ['palermo', 'catania']) {
		processes.startBackend('engine', {
			id: `engine-${zone}`, zone, service: 'advice', 'token-ms': tokenMs,
		});
	}

	await Promise.all(processes.hosts.map(async host => processes.waitFor(host, '/readyz')));
	return processes;
}

/** Requests a streamed completion from a host, follows one redirect, and returns the response. */
async function requestCompletion(address: string, prompt: string) {
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

/** Reads events until the connection is lost, and returns those that are whole. */
async function readUntilCut(body: AsyncIterable<unknown>, onReceived: (events: string) => void): Promise<string> {
	let events = '';
	try {
		for await (const chunk of body) {
			events += String(chunk);
			onReceived(events);
		}
	} catch {
		// The connection is lost when the host is killed, or when it hands its requests over.
	}

	return events.slice(0, events.lastIndexOf('\n\n') + 2);
}

/** Reads the events that follow those received, from another host. */
async function readRest(address: string, requestId: string, events: string): Promise<string> {
	const lastId = [...events.matchAll(/^id: (?<id>\d+)$/gmv)].at(-1)!.groups!.id!;
	const response = await request(`${address}/v1/requests/${requestId}`, {headers: {authorization, 'last-event-id': lastId}});
	return response.body.text();
}

function getContent(events: string): string {
	return [...events.matchAll(/"content":"(?<token>[^"]*)"/gv)].map(({groups}) => groups!.token).join('');
}

function getExpectedContent(prompt: string): string {
	return Array.from({length: tokenCount}, (_, position) => getToken(getPrompt({prompt}), position)).join('');
}

await t.test('a rolling restart of all hosts under load interrupts no response', async t => {
	const processes = await startHosts(t, 41);
	const state = {isLoading: true, redirected: 0};
	const results: boolean[] = [];
	const callers = processes.hosts.map(async ({address}, index) => {
		for (let count = 0; state.isLoading; count += 1) {
			const prompt = `plan ${index}/${count}`;
			try {
				const response = await requestCompletion(address, prompt);
				if (response.statusCode !== 200) {
					await response.body.dump();
					await delay(100);
					continue;
				}

				results.push(getContent(await response.body.text()) === getExpectedContent(prompt));
			} catch (error) {
				// A stopped host refuses connections, which is expected; any other error means that a response was interrupted.
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
	t.equal(results.filter(isComplete => !isComplete).length, 0, `${results.length} responses were complete`);
});

await t.test('a draining host redirects new requests and finishes the running one', async t => {
	const processes = await startHosts(t, 42);
	const last = processes.hosts[3]!;
	const pendingResponse = requestCompletion(last.address, 'long plan');
	await delay(200);
	last.child.kill('SIGTERM');
	await delay(300);
	const redirectedResponse = await request(`${last.address}/v1/completions`, {
		method: 'POST', headers: {authorization, 'content-type': 'application/json'}, body: JSON.stringify({model: 'advice', prompt: 'x'}),
	});
	await redirectedResponse.body.dump();
	t.equal(redirectedResponse.statusCode, 307);
	const response = await pendingResponse;
	t.equal(getContent(await response.body.text()), getExpectedContent('long plan'));
	t.equal(await waitForExit(last.child), 0);
});

await t.test('when the host that serves a stream is killed, the caller resumes it on another host and gets each byte once', async t => {
	const processes = await startHosts(t, 43);
	const [first] = processes.hosts;
	const last = processes.hosts[3]!;
	const response = await requestCompletion(last.address, 'maintenance plan');
	const requestId = String(response.headers['x-request-id']);
	const completeEvents = await readUntilCut(response.body, received => {
		if (getContent(received).length > 100) {
			last.child.kill('SIGKILL');
		}
	});
	const text = await readRest(first!.address, requestId, completeEvents);
	t.equal(getContent(completeEvents) + getContent(text), getExpectedContent('maintenance plan'));
	t.ok(text.endsWith('data: [DONE]\n\n'));
});

// Guards against a stop that waits for the requests that its host holds, and cuts off the callers that read there an answer of another host.
await t.test('a caller that reads an answer of another host at a host that stops gets it whole', async t => {
	const processes = await startHosts(t, 44, slowTokenMs);
	const [first] = processes.hosts;
	const last = processes.hosts[3]!;
	const held = await requestCompletion(first!.address, 'plan of another host');
	const heldText = held.body.text();
	const read = await request(`${last.address}/v1/requests/${String(held.headers['x-request-id'])}`, {headers: {authorization}});
	t.equal(read.statusCode, 200);
	const readText = read.body.text();
	last.child.kill('SIGTERM');
	for (const text of await Promise.all([readText, heldText])) {
		t.equal(getContent(text), getExpectedContent('plan of another host'));
	}

	t.equal(await waitForExit(last.child), 0);
});

// Guards against a stop that cuts off the callers whose requests went to another host since the session of their own had ended.
await t.test('a caller whose request went to another host, since the session ended, gets the rest while its own host stops', async t => {
	const processes = await startHosts(t, 45, slowTokenMs);
	const last = processes.hosts[3]!;
	const response = await requestCompletion(last.address, 'plan of a suspended host');
	last.child.kill('SIGSTOP');
	await waitUntil('the session of the suspended host has ended', async () => {
		const {sessions} = await readStatus(processes, processes.hosts[0]!);
		return sessions.length === hostCount - 1;
	});
	last.child.kill('SIGCONT');
	await waitUntil('the host has learned that its request moved', async () => processes.readLog(last.name).includes('session lost'));
	last.child.kill('SIGTERM');
	t.equal(getContent(await response.body.text()), getExpectedContent('plan of a suspended host'));
	t.equal(await waitForExit(last.child), 0);
});

// Guards against a stop that takes longer than a supervisor allows, and is killed with the requests that it could have handed over.
await t.test('a stop that reaches its timeout hands its request over, and the caller gets the rest from another host', async t => {
	const processes = await startHosts(t, 46, slowTokenMs, 3);
	const last = processes.hosts[3]!;
	const response = await requestCompletion(last.address, 'plan of a slow stop');
	const requestId = String(response.headers['x-request-id']);
	last.child.kill('SIGTERM');
	const received = await readUntilCut(response.body, () => undefined);
	t.equal(await waitForExit(last.child), 0);
	t.notOk(received.includes('[DONE]'));
	t.match(processes.readLog(last.name), 'stop shortened');
	const text = await readRest(processes.hosts[0]!.address, requestId, received);
	t.equal(getContent(received) + getContent(text), getExpectedContent('plan of a slow stop'));
	t.ok(text.endsWith('data: [DONE]\n\n'));
});
