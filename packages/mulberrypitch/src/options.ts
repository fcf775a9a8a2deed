/** Options that several commands share, checked in one place. */
import {readFileSync} from 'node:fs';
import path from 'node:path';
import {getMessage} from '@mulberrypitch/errors/coded-error';
import {SettingsError} from '@mulberrypitch/errors/catalogue';
import {hostDefaults} from '@mulberrypitch/config/defaults';
import type {Command} from 'cac';
import type {OperatorTarget} from './operator-client.js';

/** Options of commands that call the operators' API. */
export type TargetOptions = {
	readonly host: string;
	readonly tokenFile?: string;
	readonly json?: boolean;
};

/**
Adds the options of commands that call the operators' API.

@example
```
addTargetOptions(program.command('status', 'Show the state'));
```
*/
export function addTargetOptions(command: Command): Command {
	return command
		.option('--host <address>', 'Base address of an entry host', {default: `http://${hostDefaults.http}`})
		.option('--token-file <file>', 'File with the operator token')
		.option('--json', 'Write JSON');
}

/**
Checks the options and gives the target.

@example
```
const target = parseTarget(options);
```
*/
export function parseTarget(options: TargetOptions): OperatorTarget {
	if (!URL.canParse(options.host)) {
		throw new SettingsError(`--host can't be "${options.host}".`, 'Give a base address like http://127.0.0.1:8080.');
	}

	return {
		host: options.host,
		token: options.tokenFile === undefined ? hostDefaults.loopbackSecret : readTextFile(options.tokenFile).trim(),
	};
}

/**
Reads a file named on the command line.

@example
```
const text = readTextFile('base.ini');
```
*/
export function readTextFile(file: string): string {
	try {
		return readFileSync(file, 'utf8');
	} catch (error) {
		throw new SettingsError(`${file} can't be read: ${getMessage(error)}.`, 'Check the file name.');
	}
}

/**
Gives the site of an overlay file: its name without the ending.

@example
```
getSite('overlays/palermo.ini'); // 'palermo'
```
*/
export function getSite(file: string): string {
	return path.basename(file, '.ini');
}
