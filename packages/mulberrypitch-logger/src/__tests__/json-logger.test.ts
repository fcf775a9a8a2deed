/** Fields of JSON log lines. Bursts and readers that do not read are tested in request-timeline.test.ts. */
import {
	closeSync, mkdtempSync, openSync, readFileSync, rmSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as wait} from 'node:timers/promises';
import t from 'tap';
import {events} from '../events.js';
import {JsonLogger} from '../json-logger.js';

await t.test('a field of an event does not replace the level or the time of its line', async t => {
	const folder = mkdtempSync(path.join(tmpdir(), 'json-logger-'));
	const file = path.join(folder, 'log');
	const fileDescriptor = openSync(file, 'w');
	const logger = new JsonLogger({
		level: 'info', fields: {node: 'n'}, fileDescriptor, getTime: () => 0,
	});
	logger.log(events.requestFinished, {
		level: 7, time: 'x', node: 'other', ms: 3,
	});
	await wait(100);
	closeSync(fileDescriptor);
	const line: unknown = JSON.parse(readFileSync(file, 'utf8'));
	t.match(line, {
		level: 'info', time: '1970-01-01T00:00:00.000Z', node: 'n', ms: 3,
	});
	rmSync(folder, {recursive: true});
});
