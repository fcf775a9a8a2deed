/** Prints measurements as tables. */
import os from 'node:os';
import process from 'node:process';

/** One row of a table: the figures by column name. */
export type Row = Readonly<Record<string, number | string>>;

/**
Prints a table to standard output, with the one-minute load average of the machine. All rows have the columns of the first.

@example
```
printPart('commits', [{lanes: 1, perS: 900}]);
```
*/
export function printPart(title: string, rows: readonly Row[]): void {
	const load = os.loadavg()[0]!.toFixed(1);
	const names = Object.keys(rows[0] ?? {});
	const lines = [names, ...rows.map(row => names.map(name => String(row[name])))];
	const widths = names.map((_, column) => Math.max(...lines.map(line => line[column]!.length)));
	const text = lines.map(line => line.map((cell, column) => cell.padStart(widths[column]!)).join('  ')).join('\n');
	process.stdout.write(`\n${title} (load ${load} on ${os.availableParallelism()} cores)\n${text}\n`);
}
