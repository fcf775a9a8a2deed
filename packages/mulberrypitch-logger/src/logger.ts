/** One logger for all processes: numbered events through consola, JSON lines when not on a terminal. */
import process from 'node:process';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {
	createConsola, LogLevels, type ConsolaInstance, type LogObject,
} from 'consola';
import type {CataloguedEvent, Level} from './events.js';

/** Facts of one event. Bodies and keys never go in. */
export type Fields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Takes events. */
export type Logger = {
	log(event: CataloguedEvent, fields?: Fields): void;
};

/** Writes events through consola. */
export class ConsoleLogger implements Logger {
	readonly #consola: ConsolaInstance;
	readonly #fields: Fields;

	constructor(options: {readonly level: Level; readonly fields?: Fields; readonly isTerminal?: boolean}) {
		const isTerminal = options.isTerminal ?? process.stderr.isTTY;
		this.#fields = options.fields ?? {};
		this.#consola = createConsola({
			level: LogLevels[options.level],
			stdout: process.stderr,
			stderr: process.stderr,
			...(!isTerminal && {reporters: [{log: writeJsonLine}]}),
		});
	}

	log(event: CataloguedEvent, fields: Fields = {}): void {
		this.#consola[event.level]({
			message: `[${event.number}] ${event.text}`,
			args: [{
				event: event.number, text: event.text, ...this.#fields, ...fields,
			}],
		});
	}
}

/** Drops all events. */
export class SilentLogger implements Logger {
	log(): void {
		// Nothing is written.
	}
}

function writeJsonLine(entry: LogObject): void {
	const fields = assumeType<readonly Fields[]>(entry.args).find(argument => typeof argument === 'object');
	process.stderr.write(JSON.stringify({time: entry.date.toISOString(), level: entry.type, ...fields}) + '\n');
}
