/** The record of a case, and its result. */
import {closeSync, openSync, writeSync} from 'node:fs';
import process from 'node:process';

/** Whether the disruption is played. */
export const isTrouble = process.env.TROUBLE !== '0';

/** Time in milliseconds after which a case is given up. */
const maxPlayMs = 110_000;
/** Exit codes. */
const results = {held: 0, broken: 1, failed: 2};

/** Opens the record at a path and returns the function that adds a line, with the seconds since then. */
export function openRecord(file) {
	const descriptor = openSync(file, 'w');
	const startedAt = Date.now();
	process.once('exit', () => {
		closeSync(descriptor);
	});
	return line => {
		writeSync(descriptor, `${((Date.now() - startedAt) / 1000).toFixed(3)} ${line}\n`);
	};
}

async function judge(play, record) {
	let timer;
	const giveUp = new Promise(resolve => {
		timer = setTimeout(() => {
			record('the case took too long');
			resolve(results.failed);
		}, maxPlayMs);
	});
	const run = async () => {
		try {
			return await play() ? results.broken : results.held;
		} catch (error) {
			record(`the case could not run: ${error.stack}`);
			return results.failed;
		}
	};

	const result = await Promise.race([run(), giveUp]);
	clearTimeout(timer);
	return result;
}

/** Plays a case, which resolves with whether the rule was broken; cleans up; and exits with 1 if it was, 0 if it held, 2 if the case could not run. */
export async function runCase({play, cleanUp, record}) {
	const abort = reason => {
		record(`the case could not run: ${reason}`);
		// eslint-disable-next-line unicorn/no-process-exit -- The state of the stand-ins is unknown.
		process.exit(results.failed);
	};

	process.once('uncaughtException', error => {
		abort(error.stack);
	});
	process.once('SIGTERM', abort);
	process.once('SIGINT', abort);
	const result = await judge(play, record);
	record(`result: ${Object.keys(results).find(key => results[key] === result)}`);
	await cleanUp();
	// eslint-disable-next-line unicorn/no-process-exit -- Connections of the stand-ins may still be open.
	process.exit(result);
}
