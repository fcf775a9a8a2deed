/** The logger interface, and a logger that writes through consola: text on a terminal, JSON lines otherwise. */
import process from 'node:process';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {
	createConsola, LogLevels, type ConsolaInstance, type LogObject,
} from 'consola';
import type {CataloguedEvent, Level} from './events.js';

/** Fields of one event. Must not contain request bodies or API keys. */
export type Fields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Destination for log events. */
export type Logger = {
	/** Logs an event with its fields. A logger may leave out events, for example those below its level. */
	log(event: CataloguedEvent, fields?: Fields): void;
};

/** Writes events to standard error through consola. */
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

/** Discards all events. */
export class SilentLogger implements Logger {
	log(): void {
		// Events are discarded.
	}
}

function writeJsonLine(entry: LogObject): void {
	const fields = assumeType<readonly Fields[]>(entry.args).find(argument => typeof argument === 'object');
	process.stderr.write(JSON.stringify({time: entry.date.toISOString(), level: entry.type, ...fields}) + '\n');
}
