/** Timelines of requests from log lines, and the limits of the logger that writes the lines. */
import {
	closeSync, mkdtempSync, openSync, readFileSync,
} from 'node:fs';
import {spawnSync} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';
import {tmpdir} from 'node:os';
import {setTimeout as sleep} from 'node:timers/promises';
import t from 'tap';
import {events} from '../events.js';
import {JsonLogger} from '../json-logger.js';
import {readRequestTimeline} from '../request-timeline.js';

/** Interval in milliseconds at which it is checked whether lines have been written. */
const writeCheckMs = 5;

const lines = [
	'{"time":"2026-01-01T00:00:02.000Z","level":"info","event":1503,"text":"request finished","node":"e-1","request":"r-1","ms":30}',
	'{"time":"2026-01-01T00:00:01.000Z","level":"info","event":1502,"text":"request dispatched","node":"e-1","request":"r-1","backend":"b-1"}',
	'{"time":"2026-01-01T00:00:01.000Z","level":"info","event":1502,"text":"request dispatched","node":"e-1","request":"r-2","backend":"b-1","suppressed":4}',
	'{"time":"2026-01-01T00:00:03.0',
];

await t.test('returns the lines of a request ordered by time, with the inputs of each decision', async t => {
	const timeline = readRequestTimeline('r-1', [lines.join('\n')]);
	t.match(timeline.lines, [{event: 1502, facts: {backend: 'b-1'}}, {event: 1503, facts: {ms: 30}}]);
	t.same(timeline.missing, ['4 lines were left out under load, perhaps some of this request.']);
});

await t.test('reports which lines are missing from the files', async t => {
	t.equal(readRequestTimeline('r-2', [lines[2]!]).missing.length, 2);
	t.match(readRequestTimeline('r-3', lines).missing[0], /No line names the request/v);
});

async function writeMany(count: number): Promise<string[]> {
	const file = path.join(mkdtempSync(path.join(tmpdir(), 'log-')), 'log');
	const fileDescriptor = openSync(file, 'w');
	let time = 0;
	const logger = new JsonLogger({
		level: 'info', fields: {node: 'n'}, fileDescriptor, getTime: () => time,
	});
	for (let index = 0; index < count; index += 1) {
		logger.log(events.requestFinished, {request: `r-${index}`});
	}

	time = 1000;
	logger.log(events.requestFinished, {request: 'last'});
	logger.log(events.requestDispatched);
	// The lines are written in the background. On a busy machine that takes longer than any fixed time.
	while (!readFileSync(file, 'utf8').includes(`"event":${events.requestDispatched.number}`)) {
		await sleep(writeCheckMs);
	}

	closeSync(fileDescriptor);
	return readFileSync(file, 'utf8').trimEnd().split('\n');
}

await t.test('limits a burst of one event, and counts the suppressed lines on the next line of the event', async t => {
	const written = await writeMany(500);
	t.ok(written.length < 100, `${written.length} lines`);
	t.match(JSON.parse(written.at(-2)!), {request: 'last', suppressed: 450});
});

await t.test('drops lines instead of blocking when nobody reads the pipe', async t => {
	const script = `
		import {JsonLogger} from '${path.resolve(import.meta.dirname, '../json-logger.js')}';
		import {events} from '${path.resolve(import.meta.dirname, '../events.js')}';
		let second = 0;
		const logger = new JsonLogger({level: 'info', fields: {}, fileDescriptor: 1, getTime: () => second * 1000});
		for (second = 0; second < 400; second += 1) {
			for (let line = 0; line < 40; line += 1) {
				logger.log(events.requestFinished, {request: 'x'.repeat(100)});
			}
		}
		globalThis.process.stderr.write('done');
		globalThis.process.kill(globalThis.process.pid, 'SIGKILL');
	`;
	// The shell holds the pipe open without reading it until the writer is done.
	const {stderr} = spawnSync('sh', ['-c', '"$0" --input-type=module -e "$1" | sleep 1', process.execPath, script], {encoding: 'utf8'});
	t.match(stderr, /done/v);
});
