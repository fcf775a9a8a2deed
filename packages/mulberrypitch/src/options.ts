/** Options shared by several commands. */
import {readFileSync} from 'node:fs';
import path from 'node:path';
import {getMessage} from '@mulberrypitch/errors/coded-error';
import {SettingsError} from '@mulberrypitch/errors/catalogue';
import {isHeaderText} from '@mulberrypitch/lifecycle/header-text';
import {hostDefaults} from '@mulberrypitch/config/defaults';
import type {Command} from 'cac';
import type {OperatorEndpoint} from './operator-client.js';

/** Options of commands that call the operator API. */
export type OperatorApiOptions = {
	readonly host: string;
	readonly tokenFile?: string;
	readonly json?: boolean;
};

/**
Adds the options of commands that call the operator API, and returns the command.

@example
```
addOperatorApiOptions(program.command('status', 'Show the state'));
```
*/
export function addOperatorApiOptions(command: Command): Command {
	return command
		.option('--host <address>', 'Base address of an entry host', {default: `http://${hostDefaults.http}`})
		.option('--token-file <file>', 'File with the operator token')
		.option('--json', 'Write JSON');
}

/**
Validates the options and returns the endpoint of the operator API. Without a token file, it uses the token of hosts that listen
on loopback only. Throws `SettingsError`.

@example
```
const endpoint = parseOperatorEndpoint(options);
```
*/
export function parseOperatorEndpoint(options: OperatorApiOptions): OperatorEndpoint {
	if (!URL.canParse(options.host)) {
		throw new SettingsError(`--host can't be "${options.host}".`, 'Give a base address like http://127.0.0.1:8080.');
	}

	return {
		host: options.host,
		token: options.tokenFile === undefined ? hostDefaults.loopbackSecret : readToken(options.tokenFile),
	};
}

function readToken(file: string): string {
	const token = readTextFile(file).trim();
	if (!isHeaderText(token)) {
		throw new SettingsError(`The token in ${file} is empty or has control characters.`, 'Write the token on one line.');
	}

	return token;
}

/**
Returns the text of a file named on the command line. Throws `SettingsError` if it can't be read.

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
Returns the site that an overlay file is for: its base name without the extension.

@example
```
getSiteName('overlays/palermo.ini'); // 'palermo'
```
*/
export function getSiteName(file: string): string {
	return path.basename(file, '.ini');
}
