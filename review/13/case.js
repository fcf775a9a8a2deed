/** Clients that send requests with many small headers ahead: does the front stay up? */
/* eslint-disable camelcase -- Fields of the wire format and of the settings. */
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	Client, createAttemptId, host, key,
} from '../harness-3/clients.js';
import {
	createConfiguration, orderPath, service, stockPath,
} from '../harness-3/configuration.js';
import {putConfiguration, runCase} from '../harness-3/deployment.js';
import {Runner} from '../harness-3/runner.js';

/** Connections to each front on which requests are sent ahead, and the number on each. The front closes a connection only above 64. */
const hostileConnections = 24;
const requestsAhead = 60;
/** Headers of each of these requests. Its head stays within the limit of the configuration, 16,384 bytes. */
const headers = 1900;
const maxHeaderBytes = 16_384;
/** Pause in milliseconds between the requests of a connection. */
const pauseMs = 10;
/** How often they do so. */
const rounds = 4;
/** Number of ends by themselves on two machines, which are more than a tenth of those in use, from which on the rule is broken. */
const allowedEnds = 2;
const minMachines = 2;
/** Time in milliseconds after which the platform starts a process again that has ended. */
const restartMs = 500;
const ordinaryClients = 40;
/** Time in milliseconds for which a runner works on a report, which is what they ask for. */
const reportMs = 2000;
const reportService = 'huvo11a';
const reportPath = '/lohu930/2f';

function createHead() {
	const small = Array.from({length: headers}, (_, index) => `x${index.toString(36)}:${(index % 36).toString(36)}y\r\n`).join('');
	return `GET ${reportPath} HTTP/1.1\r\nHost: ${host}\r\nAttempt-Id: ${createAttemptId()}\r\nRequest-Deadline: 15000\r\nAuthorization: Bearer ${key}\r\n${small}\r\n`;
}

/** Sends requests ahead on one connection to a front. */
async function sendAhead(address) {
	const [ip, port] = address.split(':');
	const socket = net.connect({host: ip, port});
	socket.on('error', () => {
		// The front may close the connection.
	});
	socket.resume();
	for (let count = 0; count < requestsAhead && !socket.destroyed; count += 1) {
		socket.write(createHead());
		await sleep(pauseMs);
	}

	await sleep(2000);
	socket.destroy();
}

await runCase(import.meta.dirname, async (deployment, hasTrouble) => {
	const headBytes = createHead().length;
	if (headBytes > maxHeaderBytes) {
		throw new Error('The head is longer than the limit.');
	}

	await deployment.start({frontCount: 2});
	const configuration = createConfiguration(3);
	const [, stock] = configuration.routes;
	const [desk] = configuration.services;
	configuration.routes.push({
		...stock, name: 'r-report', path_prefix: '/lohu930/', service: reportService, timeout_ms: 15_000, target_latency_ms: 1000,
	});
	configuration.services.push({...desk, name: reportService, max_connections: 370});
	await putConfiguration(deployment, configuration);
	const runners = Array.from({length: 3}, (_, index) => new Runner(deployment, {id: `i-7f3a91c${index}`, service, ip: deployment.createIp()}));
	const reportRunner = new Runner(deployment, {
		id: 'i-5b1290d7', service: reportService, ip: deployment.createIp(), slots: 64, queue: 134, workMs: reportMs,
	});
	for (const runner of [...runners, reportRunner]) {
		await runner.start();
	}

	await deployment.waitUntilReady();
	await sleep(4000);
	const clients = Array.from({length: ordinaryClients}, (_, index) => new Client(deployment, `client-${index}`));
	const runs = clients.map(async (client, index) => client.run(() => index % 2 === 0
		? {
			method: 'POST', path: orderPath, body: 'order '.repeat(100), deadlineMs: 1500,
		}
		: {method: 'GET', path: stockPath, deadlineMs: 1500}));
	await sleep(5000);
	const troubleAt = deployment.now;
	const ends = new Map(deployment.fronts.map(front => [front.node, 0]));
	let isOver = false;
	const watch = front => {
		front.child.once('exit', async () => {
			if (isOver) {
				return;
			}

			ends.set(front.node, ends.get(front.node) + 1);
			deployment.record(`${front.node} ended by itself: ${front.readLog().split('\n').findLast(line => line.includes('heap out of memory')) ?? ''}`);
			await sleep(restartMs);
			if (!isOver) {
				front.start();
				watch(front);
			}
		});
	};

	for (const front of deployment.fronts) {
		watch(front);
	}

	for (let round = 0; round < rounds; round += 1) {
		await deployment.waitUntilReady();
		await sleep(2000);
		if (hasTrouble) {
			deployment.record(`to each front, ${hostileConnections} connections send ${requestsAhead} requests ahead, with heads of ${headBytes} bytes`);
			await Promise.all(deployment.fronts.flatMap(({address}) => Array.from({length: hostileConnections}, async () => sendAhead(address))));
		} else {
			await sleep(3000);
		}

		await sleep(1000);
	}

	const endedOften = [...ends.values()].filter(count => count > allowedEnds).length;
	isOver = true;
	for (const client of clients) {
		client.stop();
	}

	await Promise.all(runs);
	const attempts = clients.flatMap(client => client.attempts);
	const before = attempts.filter(({sentAt}) => sentAt < troubleAt);
	const after = attempts.filter(({sentAt}) => sentAt >= troubleAt);
	const countServed = list => list.filter(({isWhole, status}) => isWhole === true && status === 200).length;
	if (before.length < 100 || countServed(before) < 0.99 * before.length) {
		throw new Error('The deployment did not serve before the disruption.');
	}

	const broken = after.filter(({isWhole, hasGivenUp}) => isWhole !== true && hasGivenUp !== true).length;
	const summary = `before: ${countServed(before)} of ${before.length} requests of ordinary clients served; then ${countServed(after)} of ${after.length}, and ${broken} ended with their connection; `
		+ `processes that ended by themselves: ${[...ends].map(([node, count]) => `${node} ${count} times`).join(', ')}`;
	return {isBroken: endedOften >= minMachines, summary};
});
