/** Tests which charges quarantine a part of content that many requests share. */
import t from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {codes} from '@mulberrypitch/errors/catalogue';
import type {BackendTable} from '../backend-table.js';
import {QuarantineTable} from '../quarantine-table.js';
import type {BackendServer} from '../types.js';

const part = 'shared message';

function createTable(): QuarantineTable {
	return new QuarantineTable(assumeType<BackendTable>({get: (id: string) => createBackend(id)}));
}

function createBackend(id: string): BackendServer {
	return assumeType<BackendServer>({id, incarnation: id, isLeaving: false});
}

/** Makes a request with the part break off on a back end that then turns out to have crashed. */
function crash(table: QuarantineTable, backend: string, at: number): void {
	table.charge({
		kind: 'chargeFingerprint', fingerprint: `request on ${backend}`, parts: [part], backend, incarnation: backend,
	}, at);
	table.confirmCharges(createBackend(backend), at + 1);
}

function isQuarantined(table: QuarantineTable, at: number): boolean {
	try {
		table.throwIfQuarantined({fingerprint: 'new request', parts: [part]}, at);
		return false;
	} catch (error) {
		return assumeType<{readonly code?: string}>(error).code === codes.quarantined;
	}
}

await t.test('a part is quarantined after three crashes, and a snapshot keeps that', async t => {
	const table = createTable();
	for (const [index, backend] of ['a', 'b', 'c'].entries()) {
		t.equal(isQuarantined(table, index * 1000), false);
		crash(table, backend, index * 1000);
	}

	t.equal(isQuarantined(table, 3000), true);
	const restored = createTable();
	restored.restore(table.capture());
	t.equal(isQuarantined(restored, 3000), true);
});

// Guards against a popular message that is refused for minutes because several back ends crashed under it together.
await t.test('an outage of several back ends quarantines no part', async t => {
	const table = createTable();
	for (const [index, backend] of ['a', 'b', 'c', 'd'].entries()) {
		crash(table, backend, index * 10);
	}

	t.equal(isQuarantined(table, 1000), false);
});

await t.test('an answer clears the charges of a part', async t => {
	const table = createTable();
	crash(table, 'a', 0);
	crash(table, 'b', 1000);
	table.clear({fingerprint: 'another request', parts: [part]});
	crash(table, 'c', 2000);
	t.equal(isQuarantined(table, 3000), false);
});

// Guards against a fatal part that many callers send at once, so that back ends crash together each time, which looks like outages.
await t.test('a part under which several back ends crash together, again and again, is quarantined', async t => {
	const table = createTable();
	for (let round = 0; round < 3; round += 1) {
		t.equal(isQuarantined(table, round * 1000), false);
		for (const [index, backend] of ['a', 'b', 'c'].entries()) {
			crash(table, `${backend}${round}`, (round * 1000) + (index * 10));
		}
	}

	t.equal(isQuarantined(table, 3000), true);
});
