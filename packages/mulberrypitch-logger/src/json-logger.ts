/** Writes events as JSON lines, without blocking on a slow reader. */
import {Buffer} from 'node:buffer';
import {write} from 'node:fs';
import type {CataloguedEvent, Level} from './events.js';
import type {Fields, Logger} from './logger.js';

const levelRanks = {
	debug: 0, info: 1, warn: 2, error: 3,
} as const satisfies Record<Level, number>;

/** Limit on the characters that wait to be written. */
const maxPendingCharacters = 256 * 1024;
/** Limit on the lines of one event per second, so that the log volume does not grow with the load. */
const maxEventLinesPerSecond = 50;

/** Settings of a `JsonLogger`. */
export type JsonLoggerOptions = {
	/** Lowest level that is written. */
	readonly level: Level;
	/** Fields that are added to every line. */
	readonly fields: Fields;
	/** File descriptor to which the lines are written. */
	readonly fileDescriptor: number;
	/** Returns the wall-clock time in milliseconds. */
	readonly getTime: () => number;
};

/** Line counts of one event. */
type EventBudget = {
	/** The current second, in seconds since the epoch. */
	second: number;
	/** Number of lines admitted in the current second. */
	lines: number;
	/** Number of lines suppressed since the last admitted one. */
	suppressed: number;
};

/**
Writes JSON lines to a file descriptor, one write at a time. A line is suppressed when its event has reached its limit of lines per
second, and dropped when too many characters already wait for a slow reader. Both kinds of lost line are counted; lines lost by a write error are not.
*/
export class JsonLogger implements Logger {
	readonly #options: JsonLoggerOptions;
	readonly #budgets = new Map<number, EventBudget>();
	#pending: string[] = [];
	#pendingCharacters = 0;
	#isWriting = false;
	#dropped = 0;
	#suppressed = 0;

	constructor(options: JsonLoggerOptions) {
		this.#options = options;
	}

	/** Number of lines dropped because too many characters waited for a slow reader. */
	get droppedLines(): number {
		return this.#dropped;
	}

	/** Number of lines suppressed because their event had reached its limit of lines per second. */
	get suppressedLines(): number {
		return this.#suppressed;
	}

	/** Writes an event unless its level is below the level of the logger or its line is suppressed or dropped. */
	log(event: CataloguedEvent, fields: Fields = {}): void {
		const {level, fields: common, getTime} = this.#options;
		if (levelRanks[event.level] < levelRanks[level]) {
			return;
		}

		const time = getTime();
		const suppressed = this.#admitLine(event, time);
		if (suppressed === undefined) {
			return;
		}

		const core = {
			time: new Date(time).toISOString(), level: event.level, event: event.number, text: event.text, ...common,
		};
		// `suppressed` counts lines of this event since its last admitted line; `dropped` counts all lines dropped since the start.
		const lostLines = {...(suppressed > 0 && {suppressed}), ...(this.#dropped > 0 && {dropped: this.#dropped})};
		// `core` is spread twice: first for the order of the keys, then so that the event's own fields can't override those of `core`.
		this.#enqueue(JSON.stringify({
			...core, ...fields, ...core, ...lostLines,
		}) + '\n');
	}

	/**
	Counts a line of an event against the limit per second. Returns the number of lines of the event suppressed since the last admitted
	one, or `undefined` when this line is suppressed too.
	*/
	#admitLine({number}: CataloguedEvent, time: number): number | undefined {
		const second = Math.floor(time / 1000);
		let budget = this.#budgets.get(number);
		if (budget === undefined) {
			budget = {second, lines: 0, suppressed: 0};
			this.#budgets.set(number, budget);
		}

		if (budget.second !== second) {
			budget.second = second;
			budget.lines = 0;
		}

		if (budget.lines >= maxEventLinesPerSecond) {
			budget.suppressed += 1;
			this.#suppressed += 1;
			return undefined;
		}

		budget.lines += 1;
		const {suppressed} = budget;
		budget.suppressed = 0;
		return suppressed;
	}

	#enqueue(line: string): void {
		if (this.#pendingCharacters + line.length > maxPendingCharacters) {
			this.#dropped += 1;
			return;
		}

		this.#pending.push(line);
		this.#pendingCharacters += line.length;
		this.#writePending();
	}

	#writePending(): void {
		if (this.#isWriting || this.#pending.length === 0) {
			return;
		}

		const text = this.#pending.join('');
		this.#pending = [];
		this.#isWriting = true;
		this.#writeBytes(Buffer.from(text), () => {
			this.#isWriting = false;
			this.#pendingCharacters -= text.length;
			this.#writePending();
		});
	}

	/**
	Writes all bytes; a pipe may accept only some of them at a time. After a write error, for example because the reader closed the
	pipe, the rest of these bytes is lost, but later lines are still written and the process goes on.
	*/
	#writeBytes(data: Uint8Array, done: () => void): void {
		write(this.#options.fileDescriptor, data, (error, writtenBytes) => {
			if (error === null && writtenBytes < data.length) {
				this.#writeBytes(data.subarray(writtenBytes), done);
			} else {
				done();
			}
		});
	}
}
