/** An entry that reaches no runner passes orders on to others. A runner fails a part of the orders after it has run them. No order may run twice. */
/* eslint-disable camelcase -- The names are those of the wire. */
import net from 'node:net';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {runCase} from '../harness-2/deployment.js';
import {send} from '../harness-2/client.js';
import {Runner} from '../harness-2/runner.js';

const service = 'fixa31b';
const host = 'ficu95.example';
const key = '3d3zji9n73hh2b9wu3fe';
const orderCount = 120;
const workMs = 60;
/** Which of nine requests in a row one runner fails: 0.44 of them, as `x` (0.45) of `srv_grey` in the site file. */
const failedOfNine = new Set([0, 2, 4, 6]);
const runnerCount = 3;

const configuration = {
	version: 1,
	routes: [{
		name: 'order', host, path_prefix: '/order/', kind: 'non_idempotent', timeout_ms: 1500, target_latency_ms: 386, priority: 2,
		service, max_attempts: 1, public: false, session_affinity: false, resumable: false,
	}],
	services: [{
		name: service, health_path: '/health', max_connections: 110, protocol: 'h1', tls: false,
	}],
	limits: {
		max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
	},
	tenants: [{name: 'huka270', api_keys: [key], priority: 1}],
};

/** Places an order at an entry, in one attempt. */
async function placeOrder(deployment, entry, attempt) {
	const {status, headers, body, error} = await send({
		host: entry.ip, port: deployment.ports.callers, target: '/order/1', body: '{"drums":1}', headers: {
			Host: host, 'Attempt-Id': attempt, 'Request-Deadline': '1500', Authorization: `Bearer ${key}`,
		}, timeoutMs: 1600,
	});
	const signature = headers['response-signature'];
	deployment.record(`client got from ${entry.name} for ${attempt}: ${status === 0 ? error : status}${signature === undefined ? '' : `, signed ${signature}`} ${body.trim()}`);
	return status;
}

/** Places orders at an entry, several at once, so that it has kept connections to the runners. */
async function useEntry(deployment, entry, name) {
	for (let round = 0; round < 4; round += 1) {
		await Promise.all(Array.from({length: 9}, async (_, index) => placeOrder(deployment, entry, `${name}-${round}-${index}`)));
	}
}

await runCase(path.join(import.meta.dirname, 'record.txt'), async (deployment, {hasTrouble}) => {
	await deployment.start({coordinators: 3, entries: 3});
	await deployment.putFirst(configuration);
	let isGrey = false;
	const runners = Array.from({length: runnerCount}, (_, index) => new Runner(deployment, {
		id: `i-d00495c35${index}`, service, index, slots: 6, async handle({response, headers, run}) {
			await sleep(workMs);
			const isFailing = isGrey && index === 0 && failedOfNine.has(run.number % 9);
			deployment.record(`runner ${run.runner} has run ${run.attempt} and answers ${isFailing ? 503 : 200}`);
			response.writeHead(isFailing ? 503 : 200, {
				...headers, 'Keep-Alive': 'timeout=60', ...(!isFailing && {'Response-Signature': `${run.runner}.${run.attempt}`}),
			});
			response.end(isFailing ? '{"error":"could not confirm"}' : '{"order":"taken"}');
		},
	}));
	for (const runner of runners) {
		await runner.start();
		runner.server.keepAliveTimeout = 60_000;
	}

	await deployment.waitForEntries();
	await sleep(3000);
	const [cutOff, ...others] = deployment.entries;
	for (const entry of others) {
		await useEntry(deployment, entry, entry.name);
	}

	if (hasTrouble) {
		deployment.record('the runners accept no new connections; kept ones live on');
		for (const {server} of runners) {
			net.Server.prototype.close.call(server);
		}

		isGrey = true;
	}

	const orders = [];
	for (let order = 0; order < orderCount; order += 1) {
		orders.push(placeOrder(deployment, cutOff, `o${order}`));
		await sleep(60);
	}

	const statuses = await Promise.all(orders);
	const ran = new Map();
	for (const {attempt} of runners.flatMap(({runs}) => runs)) {
		ran.set(attempt, (ran.get(attempt) ?? 0) + 1);
	}

	const twice = [...ran].filter(([, count]) => count > 1).map(([attempt]) => attempt);
	deployment.record(`${orderCount} orders at ${cutOff.name}, ${statuses.filter(status => status === 200).length} answered with 200`);
	deployment.record(`${twice.length} attempts ran more than once: ${twice.join(' ')}`);
	return twice.length > 0;
});
