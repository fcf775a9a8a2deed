/** `mulberrypitch account show|verify|export`: shows, verifies and exports the audit log of requests. */
import {writeFileSync} from 'node:fs';
import {readAccountFolder} from '@mulberrypitch/account/account-folder';
import {createReports, requireHead, type RequestReport} from '@mulberrypitch/account/account-report';
import {verifyChain} from '@mulberrypitch/account/chain';
import type {AccountRecord, ChainHead} from '@mulberrypitch/account/types';
import {hostDefaults} from '@mulberrypitch/config/defaults';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {SettingsError} from '@mulberrypitch/errors/catalogue';
import {getMessage} from '@mulberrypitch/errors/coded-error';
import {NodeDisk} from '@mulberrypitch/storage/node-disk';
import type {CAC} from 'cac';
import {callOperatorApi} from '../operator-client.js';
import {
	addOperatorApiOptions, parseOperatorEndpoint, readTextFile, type OperatorApiOptions,
} from '../options.js';
import {writeJson, writeLine, writeTable} from '../output.js';

type AccountOptions = OperatorApiOptions & {
	readonly file?: string;
	readonly data?: string;
	readonly group: string;
	readonly head?: string;
};

/**
Adds the `account` command to the program.

@example
```
addAccountCommands(program);
```
*/
export function addAccountCommands(program: CAC): void {
	addOperatorApiOptions(program.command('account <action> [...values]', 'Show, verify or export the account: show [request ...], verify, export FILE'))
		.option('--file <file>', 'Read an export in place of a host')
		.option('--data <folder>', 'Read the data folder of a control host in place of a host')
		.option('--group <group>', 'Group under the data folder', {default: hostDefaults.group})
		.option('--head <sequence:hash>', 'Chain head that you keep, to compare with')
		.action(async (action: string, values: string[], options: AccountOptions) => runAction(action, values, options));
}

async function runAction(action: string, values: string[], options: AccountOptions): Promise<void> {
	switch (action) {
		case 'show': {
			showRecords(await readRecords(options), values, options);
			return;
		}

		case 'verify': {
			const records = await readRecords(options);
			writeLine(formatSummary(records, verifyRecords(records, options), 'verified'));
			return;
		}

		case 'export': {
			exportRecords(await readRecords(options), values[0], options);
			return;
		}

		default: {
			throw new SettingsError(`"${action}" is not an action of account.`, 'Use show, verify or export.');
		}
	}
}

/** Shows all records, or reports on the given requests in the order in which they were accepted. */
function showRecords(records: readonly AccountRecord[], requestIds: readonly string[], options: AccountOptions): void {
	if (requestIds.length === 0) {
		if (options.json === true) {
			writeJson(records);
		} else {
			writeRecords(records);
		}

		return;
	}

	verifyRecords(records, options);
	const reports = createReports(records, requestIds);
	if (options.json === true) {
		writeJson(reports);
	} else {
		writeReports(reports);
	}
}

function writeReports(reports: readonly RequestReport[]): void {
	writeTable(['place', 'request', 'customer', 'service', 'accepted #', 'accepted at', 'back ends', 'end', 'ended at', 'bytes', 'digest of the answer'], reports.map(report => [
		report.place,
		report.requestId,
		report.customer,
		report.service,
		report.acceptedSequence,
		new Date(report.acceptedAt).toISOString(),
		report.backends.join(', '),
		report.finish?.end ?? 'in progress',
		report.finish === undefined ? '' : new Date(report.finish.time).toISOString(),
		report.finish?.lengthBytes ?? '',
		report.finish?.digest ?? '',
	]));
}

/**
Writes audit records as a table, in the given order.

@example
```
writeRecords(records);
```
*/
export function writeRecords(records: readonly AccountRecord[]): void {
	writeTable(['#', 'time', 'what', 'request', 'customer', 'service', 'host', 'back end', 'end', 'digest'], records.map(record => [
		record.sequence,
		new Date(record.controlTime).toISOString(),
		record.kind,
		record.requestId.slice(0, 8),
		record.customer,
		record.service,
		record.host,
		record.backend ?? '',
		record.end ?? '',
		record.digest?.slice(0, 8) ?? '',
	]));
}

/** Verifies the hash chain, and that it contains the chain head given with `--head`, and returns the current head. */
function verifyRecords(records: readonly AccountRecord[], options: AccountOptions): ChainHead {
	const head = verifyChain(records);
	if (options.head !== undefined) {
		requireHead(records, parseHead(options.head));
	}

	return head;
}

/** Writes a JSON array with one record per line, so that exports can be compared line by line. */
function exportRecords(records: readonly AccountRecord[], file: string | undefined, options: AccountOptions): void {
	if (file === undefined) {
		throw new SettingsError('No file to export to was given.', 'Write account export FILE.');
	}

	const head = verifyRecords(records, options);
	const lines = records.map(record => JSON.stringify(record)).join(',\n');
	try {
		writeFileSync(file, `[\n${lines}\n]\n`, {flag: 'wx'});
	} catch (error) {
		throw new SettingsError(`${file} can't be written: ${getMessage(error)}.`, 'Name a new file in a folder that exists.');
	}

	writeLine(formatSummary(records, head, 'exported'));
}

function formatSummary(records: readonly AccountRecord[], head: ChainHead, verb: string): string {
	return `${records.length} records ${verb}, head ${head.sequence}:${head.hash}`;
}

function parseHead(text: string): ChainHead {
	const [sequence, hash] = text.split(':');
	if (hash?.length !== 64 || !Number.isSafeInteger(Number(sequence))) {
		throw new SettingsError(`--head can't be "${text}".`, 'Give sequence:hash as account verify prints it.');
	}

	return {sequence: Number(sequence), hash};
}

async function readRecords(options: AccountOptions): Promise<readonly AccountRecord[]> {
	if (options.file !== undefined) {
		return parseExport(readTextFile(options.file), options.file);
	}

	if (options.data !== undefined) {
		return readAccountFolder(options.data, options.group, new NodeDisk());
	}

	return fetchRecords(options);
}

function parseExport(text: string, file: string): AccountRecord[] {
	try {
		return assumeType<AccountRecord[]>(JSON.parse(text));
	} catch (error) {
		throw new SettingsError(`${file} is not an export of the account: ${getMessage(error)}.`, 'Give a file written by account export.');
	}
}

async function fetchRecords(options: AccountOptions): Promise<AccountRecord[]> {
	const endpoint = parseOperatorEndpoint(options);
	const records: AccountRecord[] = [];
	for (;;) {
		const page = await callOperatorApi<{records: AccountRecord[]}>(endpoint, 'GET', `/v1/admin/account?from=${records.length + 1}`);
		if (page.records.length === 0) {
			return records;
		}

		records.push(...page.records);
	}
}
