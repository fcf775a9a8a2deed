/** The logger of a long-running process. */
import process from 'node:process';
import {JsonLogger} from './json-logger.js';
import type {Level} from './events.js';
import {ConsoleLogger, type Fields, type Logger} from './logger.js';

/** File descriptor of standard output. */
const standardOutput = 1;

/** Settings of the logger of a process. */
export type ProcessLoggerOptions = {
	/** Lowest level that is written. */
	readonly level: Level;
	/** Fields that are added to every line. */
	readonly fields: Fields;
	/** Returns the wall-clock time in milliseconds. */
	readonly getTime: () => number;
};

/**
Creates a logger that writes text on a terminal, and otherwise JSON lines to standard output, without waiting for their reader.

@example
```
const logger = createProcessLogger({level: 'info', fields: {node: 'bangna-1'}, getTime: () => Date.now()});
```
*/
export function createProcessLogger({level, fields, getTime}: ProcessLoggerOptions): Logger {
	if (process.stdout.isTTY) {
		return new ConsoleLogger({level, fields});
	}

	return new JsonLogger({
		level, fields, getTime, fileDescriptor: standardOutput,
	});
}
