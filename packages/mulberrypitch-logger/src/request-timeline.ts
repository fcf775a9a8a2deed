/** Collects the log lines of one request from the logs of all processes. */

/** One log line of the request. */
export type TimelineLine = {
	/** ISO 8601 time, from the clock of the process that wrote the line. */
	readonly time: string;
	readonly node: string;
	readonly event: number;
	readonly text: string;
	/** All other fields of the line except its level and request, such as the inputs of a logged decision, `suppressed` and `dropped`. */
	readonly facts: Readonly<Record<string, unknown>>;
};

/** The log lines of one request, ordered by time, and the gaps found in them. */
export type RequestTimeline = {
	readonly request: string;
	readonly lines: readonly TimelineLine[];
	/** Gaps in the timeline, as sentences: expected lines that were not found, and the number of suppressed lines, which may belong to any request. Dropped lines are not reported. */
	readonly missing: readonly string[];
};

/** Numbers of the events with which an entry host ends a request: `requestFinished`, `requestRefused` and `requestFailed`. */
const endEvents = new Set([1503, 1505, 1507]);
/** Number of the event `requestDispatched`. */
const dispatchEvent = 1502;

/**
Returns the log lines of one request, ordered by time. `logs` holds the contents of the log files.

@example
```
const timeline = readRequestTimeline('9c41d07be2a35f68', logs);
```
*/
export function readRequestTimeline(request: string, logs: readonly string[]): RequestTimeline {
	const lines: TimelineLine[] = [];
	let suppressed = 0;
	for (const line of logs.flatMap(log => log.split('\n'))) {
		const parsed = parseLine(line);
		suppressed += Number(parsed?.suppressed ?? 0);
		if (parsed?.request === request) {
			lines.push(toTimelineLine(parsed));
		}
	}

	const sorted = lines.toSorted((left, right) => left.time.localeCompare(right.time));
	return {request, lines: sorted, missing: listMissing(sorted, suppressed)};
}

function parseLine(line: string): Readonly<Record<string, unknown>> | undefined {
	// A line is incomplete when its process was killed during the write. It is ignored, as is any text before the first brace of a line.
	try {
		const value: unknown = JSON.parse(line.slice(Math.max(0, line.indexOf('{'))));
		return typeof value === 'object' && value !== null ? {...value} : undefined;
	} catch {
		return undefined;
	}
}

function toTimelineLine({time, level, node, event, text, request, ...facts}: Readonly<Record<string, unknown>>): TimelineLine {
	return {
		time: String(time), node: String(node), event: Number(event), text: String(text), facts,
	};
}

function listMissing(lines: readonly TimelineLine[], suppressed: number): readonly string[] {
	const missing: string[] = [];
	if (lines.length === 0) {
		missing.push('No line names the request; it may have reached none of these processes.');
	} else if (!lines.some(({event}) => endEvents.has(event))) {
		missing.push('No line ends the request; its entry may have stopped, or its log is not among the files.');
	}

	if (lines.length > 0 && !lines.some(({event}) => event === dispatchEvent)) {
		missing.push('No line sends the request to a back end.');
	}

	if (suppressed > 0) {
		missing.push(`${suppressed} lines were left out under load, perhaps some of this request.`);
	}

	return missing;
}
