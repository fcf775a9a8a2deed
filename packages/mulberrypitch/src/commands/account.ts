/** `mulberrypitch account show|verify`: the account of requests. */
import {assumeType} from '@mulberrypitch/errors/assume-type';
import type {CAC} from 'cac';
import {verifyChain} from '@mulberrypitch/account/chain';
import type {AccountRecord, ChainHead} from '@mulberrypitch/account/types';
import {ConflictError, SettingsError} from '@mulberrypitch/errors/catalogue';
import {callOperatorApi} from '../operator-client.js';
import {
	addTargetOptions, parseTarget, readTextFile, type TargetOptions,
} from '../options.js';
import {writeJson, writeLine, writeTable} from '../output.js';

type AccountOptions = TargetOptions & {
	readonly file?: string;
	readonly head?: string;
};

/**
Adds the command.

@example
```
addAccountCommands(program);
```
*/
export function addAccountCommands(program: CAC): void {
	addTargetOptions(program.command('account <action> [...requests]', 'Show or verify the account: show [request ...], verify'))
		.option('--file <file>', 'Read an export (from account show --json) in place of a host')
		.option('--head <sequence:hash>', 'Chain head that you keep, to compare with')
		.action(async (action: string, requests: string[], options: AccountOptions) => run(action, requests, options));
}

async function run(action: string, requests: string[], options: AccountOptions): Promise<void> {
	const records = await readRecords(options);
	if (action === 'verify') {
		verify(records, options);
		return;
	}

	if (action !== 'show') {
		throw new SettingsError(`"${action}" is not an action of account.`, 'Use show or verify.');
	}

	const shown = requests.length === 0 ? records : records.filter(record => requests.includes(record.requestId));
	if (options.json === true) {
		writeJson(shown);
		return;
	}

	writeRecords(shown);
}

/**
Writes records as a table, in the order of the account.

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

function verify(records: readonly AccountRecord[], options: AccountOptions): void {
	const head = verifyChain(records);
	if (options.head !== undefined) {
		compareHead(records, parseHead(options.head));
	}

	writeLine(`${records.length} records verified, head ${head.sequence}:${head.hash}`);
}

function compareHead(records: readonly AccountRecord[], kept: ChainHead): void {
	const record = records[kept.sequence - 1];
	if (kept.sequence > 0 && record?.hash !== kept.hash) {
		throw new ConflictError(`Record ${kept.sequence} is not the one you keep the head of.`, 'The account was rewritten or cut; compare with another control host.', {sequence: kept.sequence});
	}
}

function parseHead(text: string): ChainHead {
	const [sequence, hash] = text.split(':');
	if (hash?.length !== 64 || !Number.isSafeInteger(Number(sequence))) {
		throw new SettingsError(`--head can't be "${text}".`, 'Give sequence:hash as account verify prints it.');
	}

	return {sequence: Number(sequence), hash};
}

async function readRecords(options: AccountOptions): Promise<AccountRecord[]> {
	if (options.file !== undefined) {
		return assumeType<AccountRecord[]>(JSON.parse(readTextFile(options.file)));
	}

	const target = parseTarget(options);
	const records: AccountRecord[] = [];
	for (;;) {
		const part = await callOperatorApi<{records: AccountRecord[]}>(target, 'GET', `/v1/admin/account?from=${records.length + 1}`);
		if (part.records.length === 0) {
			return records;
		}

		records.push(...part.records);
	}
}
