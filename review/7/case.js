/** A runner fails a part of the orders after it has run them, with 503 and without `Not-Executed`. The answer must not promise that they have not run. */
/* eslint-disable camelcase -- The names are those of the wire. */
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
/** Part of its requests that one runner fails, as `x` of `srv_grey` in the site file. */
const failedShare = 0.45;
/** Statuses that promise that the request has not run and never will. */
const promises = new Set([408, 421, 429, 503]);

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

/** Sends one attempt of an order. */
async function attemptOrder(deployment, order, attempt) {
	const {status, headers, error} = await send({
		host: deployment.entries[order % 2].ip, port: deployment.ports.callers, target: `/order/${order}`, body: `{"order":${order}}`, headers: {
			Host: host, 'Attempt-Id': attempt, 'Request-Deadline': '1500', Authorization: `Bearer ${key}`,
		}, timeoutMs: 1600,
	});
	const signature = headers['response-signature'];
	deployment.record(`client got for ${attempt}: ${status === 0 ? error : status}${signature === undefined ? '' : `, signed ${signature}`}`);
	return {attempt, status};
}

/** Places an order. After a promise that it has not run, the client sends it once more, as a new attempt. */
async function placeOrder(deployment, order) {
	const first = await attemptOrder(deployment, order, `o${order}-1`);
	if (!promises.has(first.status)) {
		return [first];
	}

	await sleep(100);
	return [first, await attemptOrder(deployment, order, `o${order}-2`)];
}

await runCase(path.join(import.meta.dirname, 'record.txt'), async (deployment, {hasTrouble}) => {
	await deployment.start({coordinators: 3, entries: 2});
	await deployment.putFirst(configuration);
	const runners = Array.from({length: 3}, (_, index) => new Runner(deployment, {
		id: `i-d00495c35${index}`, service, index, slots: 6, async handle({response, headers, run}) {
			await sleep(workMs);
			const isFailing = hasTrouble && index === 0 && (run.number % 20) < failedShare * 20;
			const signature = `${run.runner}.${run.attempt}`;
			deployment.record(`runner ${run.runner} has run ${run.attempt} and answers ${isFailing ? 503 : 200}`);
			response.writeHead(isFailing ? 503 : 200, {...headers, 'Response-Signature': signature}).end(isFailing ? '{"error":"could not confirm"}' : '{"order":"taken"}');
		},
	}));
	for (const runner of runners) {
		await runner.start();
	}

	await deployment.waitForEntries();
	await sleep(3000);
	const orders = [];
	for (let order = 0; order < orderCount; order += 1) {
		orders.push(placeOrder(deployment, order));
		await sleep(60);
	}

	const placed = await Promise.all(orders);
	const attempts = placed.flat();
	const ran = new Map();
	for (const {attempt} of runners.flatMap(({runs}) => runs)) {
		ran.set(attempt, (ran.get(attempt) ?? 0) + 1);
	}

	const broken = attempts.filter(({attempt, status}) => promises.has(status) && ran.has(attempt));
	const twice = Array.from({length: orderCount}, (_, order) => (ran.get(`o${order}-1`) ?? 0) + (ran.get(`o${order}-2`) ?? 0)).filter(count => count > 1).length;
	deployment.record(`${attempts.length} attempts of ${orderCount} orders`);
	deployment.record(`${broken.length} were answered with a promise and had run: ${broken.map(({attempt}) => attempt).join(' ')}; ${twice} orders ran twice`);
	return broken.length > 0;
});
