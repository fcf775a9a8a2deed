/** Printing of measured figures. */
import os from 'node:os';
import process from 'node:process';

/** One line of figures by name. */
export type Row = Readonly<Record<string, number | string>>;

/**
Prints the figures of one part, with the load of the machine at that time.

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
