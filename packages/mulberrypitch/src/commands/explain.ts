/** `mulberrypitch explain REQUEST-ID FILE...`: shows the timeline of one request, read from the log files of all processes. */
import {readRequestTimeline, type RequestTimeline} from '@mulberrypitch/logger/request-timeline';
import type {CAC} from 'cac';
import {readTextFile} from '../options.js';
import {writeJson, writeLine} from '../output.js';

/**
Adds the `explain` command to the program.

@example
```
addExplainCommand(program);
```
*/
export function addExplainCommand(program: CAC): void {
	program.command('explain <request> <...files>', 'Tell what happened to a request, from the log files of all processes')
		.option('--json', 'Write JSON')
		.action((request: string, files: string[], {json}: {readonly json?: boolean}) => {
			const timeline = readRequestTimeline(request, files.map(file => readTextFile(file)));
			if (json === true) {
				writeJson(timeline);
			} else {
				writeTimeline(timeline);
			}
		});
}

function writeTimeline({request, lines, missing}: RequestTimeline): void {
	writeLine(`Request ${request}`);
	for (const {time, node, event, text, facts} of lines) {
		const inputs = Object.entries(facts).map(([name, value]) => `${name}=${String(value)}`).join(' ');
		writeLine(`${time} ${node} [${event}] ${text}: ${inputs}`);
	}

	for (const line of missing) {
		writeLine(`Missing: ${line}`);
	}
}
