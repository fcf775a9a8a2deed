/** One of three runners sends additional bytes after a few of its complete answers: the beginning of a second copy, broken off. */
import path from 'node:path';
import {Deployment} from '../harness/deployment.mjs';
import {createDeskConfiguration, DeskClients, getDeskRunner} from '../harness/desk.mjs';
import {isTrouble, openRecord, runCase} from '../harness/record.mjs';
import {Runner} from '../harness/runner.mjs';
import {pick, wait} from '../harness/time.mjs';

const record = openRecord(path.join(import.meta.dirname, 'record.txt'));
/** The dose of `garble` on the sheet of chroma-route: 0.35 of the runners, 0.02 of their answers, 5.5 s; it comes several times. */
const extraShare = 0.02;
const troubleMs = 5500;
const pauseMs = 1500;
const times = 8;
/** Share of the answers to stock-check that are failures in the site file. */
const failureShare = 0.14;
/** Number of additional bytes, at most. */
const maxExtraBytes = 90;
const deployment = new Deployment({record});
const clients = new DeskClients({
	deployment, record() {
	// The failures of the runners are expected.
	}, gapMs: 10,
});
const runners = [];
/** The status that the runners gave last to each request, with the signature. */
const given = new Map();
let isGarbling = false;
let extras = 0;

/** Returns the function that writes the answers of a runner. */
function createAnswers(isFaulty) {
	return ({runner, id, socket}) => {
		const isFailure = Math.random() < failureShare;
		const body = isFailure ? '{"error":"out of order"}' : '{"stock":12}';
		const signature = `${runner.id}.${id}.${runner.runs.length}`;
		const lines = [
			`HTTP/1.1 ${isFailure ? '500 Internal Server Error' : '200 OK'}`,
			'Content-Type: application/json',
			`Date: ${new Date().toUTCString()}`,
			`Attempt-Id: ${id}`,
			`Response-Signature: ${signature}`,
			`Content-Length: ${body.length}`,
		];
		const answer = `${lines.join('\r\n')}\r\n\r\n${body}`;
		given.set(signature, {id, status: isFailure ? 500 : 200});
		socket.write(answer);
		if (isFaulty && isGarbling && Math.random() < extraShare) {
			const extra = answer.slice(0, 1 + pick(maxExtraBytes));
			extras += 1;
			record(`${runner.id} has answered ${id}, and sends more: ${JSON.stringify(extra)}`);
			socket.write(extra);
		}
	};
}

async function play() {
	await deployment.start();
	for (const index of deployment.zones.keys()) {
		const runner = new Runner({deployment, ...getDeskRunner(index), answer: createAnswers(index === 0)});
		runners.push(runner);
		await runner.start();
	}

	await deployment.configure(createDeskConfiguration(1, 'idempotent'));
	await wait(3000);
	clients.start(36);
	await wait(2000);
	for (let time = 0; time < times; time += 1) {
		isGarbling = isTrouble;
		await wait(troubleMs);
		isGarbling = false;
		await wait(pauseMs);
	}

	await clients.stop();
	const wrong = clients.outcomes.filter(({status, headers}) => status === 200 && given.get(headers['response-signature'])?.status !== 200);
	for (const {id, front, headers, body} of wrong) {
		record(`${front} answered ${id} with status 200, although the runner had answered 500; headers ${JSON.stringify(headers)}; body ${body}`);
	}

	record(`${clients.outcomes.length} requests, ${clients.answered} answered with success; additional bytes after ${extras} answers`);
	record(`successes where the runner had answered with a failure: ${wrong.length}`);
	if (clients.answered < 1000) {
		throw new Error('Too few requests were answered.');
	}

	return wrong.length > 0;
}

await runCase({
	play,
	async cleanUp() {
		for (const runner of runners) {
			runner.stop();
		}

		await deployment.stop();
	},
	record,
});
