/** `mulberrypitch report burn`: shows the rate at which services spend their error budgets (the burn rate), merged over the entry hosts that answer. */
import {writeFileSync} from 'node:fs';
import type {CAC} from 'cac';
import type {Session} from '@mulberrypitch/control/types';
import {CodedError, getMessage} from '@mulberrypitch/errors/coded-error';
import {SettingsError} from '@mulberrypitch/errors/catalogue';
import {drawBurn} from '@mulberrypitch/metrics/burn-plot';
import type {BurnSeries} from '@mulberrypitch/metrics/burn-recorder';
import {createBurnReport, type BurnLine} from '@mulberrypitch/metrics/burn-report';
import {callOperatorApi, type OperatorEndpoint} from '../operator-client.js';
import {addOperatorApiOptions, parseOperatorEndpoint, type OperatorApiOptions} from '../options.js';
import {writeJson, writeLine, writeTable} from '../output.js';

type ReportOptions = OperatorApiOptions & {
	readonly svg?: string;
	readonly html?: string;
};

/** The series that one host recorded, or why they could not be fetched. */
type HostBurn = {
	readonly node: string;
	readonly series: readonly BurnSeries[];
	readonly failure?: string;
};

/**
Adds the `report` command to the program.

@example
```
addReportCommand(program);
```
*/
export function addReportCommand(program: CAC): void {
	addOperatorApiOptions(program.command('report <what>', 'Report on service levels: burn'))
		.option('--svg <file>', 'Write a plot as SVG')
		.option('--html <file>', 'Write a page with the plot')
		.action(async (what: string, options: ReportOptions) => {
			if (what !== 'burn') {
				throw new SettingsError(`"${what}" is not a report.`, 'Use burn.');
			}

			await showBurnReport(options);
		});
}

async function showBurnReport(options: ReportOptions): Promise<void> {
	const hostBurns = await fetchBurnSeries(parseOperatorEndpoint(options));
	const lines = createBurnReport(hostBurns.map(({series}) => series));
	const missing = hostBurns.flatMap(({node, failure}) => failure === undefined ? [] : [{node, failure}]);
	writePlots(lines, options);
	if (options.json === true) {
		writeJson({hosts: hostBurns.length - missing.length, missing, lines});
		return;
	}

	writeBurnTable(lines);
	writeLine(`${hostBurns.length - missing.length} of ${hostBurns.length} hosts answered.`);
	for (const {node, failure} of missing) {
		writeLine(`${node} is missing: ${failure}`);
	}
}

/** Returns the series of every host in the status. A host that can't be asked has no series and a `failure`. */
async function fetchBurnSeries(endpoint: OperatorEndpoint): Promise<HostBurn[]> {
	const {sessions} = await callOperatorApi<{sessions: readonly Session[]}>(endpoint, 'GET', '/v1/admin/status');
	return Promise.all(sessions.map(async ({node, publicAddress}) => {
		try {
			const {series} = await callOperatorApi<{series: readonly BurnSeries[]}>({...endpoint, host: publicAddress}, 'GET', '/v1/admin/burn');
			return {node, series};
		} catch (error) {
			if (!(error instanceof CodedError)) {
				throw error;
			}

			return {node, series: [], failure: getMessage(error)};
		}
	}));
}

/** Writes the plot to the SVG and HTML files that the options name, if any. */
function writePlots(lines: readonly BurnLine[], {svg, html}: ReportOptions): void {
	const plot = drawBurn(lines, new Date());
	if (svg !== undefined) {
		writeFile(svg, plot);
	}

	if (html !== undefined) {
		writeFile(html, `<!doctype html>\n<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title></head><body>\n${plot}</body></html>\n`);
	}
}

function writeFile(file: string, text: string): void {
	try {
		writeFileSync(file, text);
	} catch (error) {
		throw new SettingsError(`${file} can't be written: ${getMessage(error)}.`, 'Check the folder and its permissions.');
	}
}

/** Writes one row per line. The `fast`, `medium` and `slow` windows of a line cover 5 minutes, 1 hour and 6 hours. */
function writeBurnTable(lines: readonly BurnLine[]): void {
	writeTable(
		['service', 'workspace', 'measure', 'count 6 h', 'burn 5 min', 'burn 1 h', 'burn 6 h', 'p50 ms', 'p95 ms', 'p99 ms', 'alarm'],
		lines.map(line => [
			line.service,
			line.workspace,
			line.measure,
			line.slow.total,
			...[line.fast, line.medium, line.slow].map(({burn}) => burn.toFixed(2)),
			...[line.p50Ms, line.p95Ms, line.p99Ms].map(value => value?.toFixed(1) ?? ''),
			line.alarm,
		]),
	);
}
