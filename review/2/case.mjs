/** One of three runners hands out a wrong byte in a few of its answers: a control character in the value of a header. */
import path from 'node:path';
import {Deployment} from '../harness/deployment.mjs';
import {createDeskConfiguration, DeskClients, getDeskRunner} from '../harness/desk.mjs';
import {isTrouble, openRecord, runCase} from '../harness/record.mjs';
import {createAnswer, Runner} from '../harness/runner.mjs';
import {wait} from '../harness/time.mjs';

const record = openRecord(path.join(import.meta.dirname, 'record.txt'));
/** The dose of `garble` on the sheet of chroma-route: 0.35 of the runners, 0.02 of their answers, 5.5 s. */
const spoiledShare = 0.02;
const troubleMs = 5500;
/** Number of requests that may be broken off without an answer. */
const maxBrokenOff = 3;
const deployment = new Deployment({record});
const clients = new DeskClients({deployment, record, gapMs: 20});
const runners = [];
let isGarbling = false;
let spoiled = 0;

/** Writes an answer of the faulty runner. */
function createSpoiledAnswer({runner, id, socket}) {
	if (!isGarbling || Math.random() >= spoiledShare) {
		createAnswer({runner, id, socket});
		return;
	}

	spoiled += 1;
	record(`${runner.id} hands out a wrong byte in its answer to ${id}`);
	const body = `answer to ${id}`;
	socket.write(`HTTP/1.1 200 OK\r\nDate: Sat, 05 Dec\u0001 2026 10:00:00 GMT\r\nAttempt-Id: ${id}\r\nResponse-Signature: ${runner.id}.${id}\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
}

async function play() {
	await deployment.start();
	for (const index of deployment.zones.keys()) {
		const runner = new Runner({deployment, ...getDeskRunner(index), ...(index === 0 && {answer: createSpoiledAnswer})});
		runners.push(runner);
		await runner.start();
	}

	await deployment.configure(createDeskConfiguration(1));
	await wait(3000);
	clients.start(24);
	await wait(4000);
	record(`the trouble begins; ${clients.answered} of ${clients.outcomes.length} requests answered so far`);
	isGarbling = isTrouble;
	await wait(troubleMs);
	isGarbling = false;
	await wait(3000);
	await clients.stop();

	const soundRuns = new Set(runners.slice(1).flatMap(({runs}) => runs.map(({id}) => id)));
	const brokenOff = clients.outcomes.filter(({id, status, isReused, isTimeout}) => status === undefined && !isTimeout && isReused && soundRuns.has(id));
	for (const {id, front} of brokenOff) {
		record(`${front} passed ${id} from a kept connection on to a sound runner, which ran it, and closed that connection without an answer`);
	}

	record(`${clients.outcomes.length} requests, ${clients.answered} answered with success; ${spoiled} answers spoiled`);
	record(`processes that ended by themselves: ${deployment.fronts.map(({name, ownEnds}) => `${name} ${ownEnds}`).join(', ')}`);
	record(`requests from kept connections that sound runners ran and that were closed without an answer: ${brokenOff.length}`);
	if (clients.answered < 1000) {
		throw new Error('Too few requests were answered.');
	}

	return brokenOff.length > maxBrokenOff;
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
