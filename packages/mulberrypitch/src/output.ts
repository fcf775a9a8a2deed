/** Writes results to standard output, as text, tables or JSON. */
import process from 'node:process';
import Table from 'cli-table3';

/**
Writes one line to standard output.

@example
```
writeLine('done');
```
*/
export function writeLine(text: string): void {
	process.stdout.write(text + '\n');
}

/**
Writes a value to standard output as JSON, indented with tabs.

@example
```
writeJson({revision: 1});
```
*/
export function writeJson(value: unknown): void {
	writeLine(JSON.stringify(value, undefined, '\t'));
}

/**
Writes a table to standard output.

@example
```
writeTable(['node', 'zone'], [['a', 'z1']]);
```
*/
export function writeTable(headings: readonly string[], rows: ReadonlyArray<ReadonlyArray<string | number>>): void {
	const table = new Table({head: [...headings], style: {head: [], border: []}});
	for (const row of rows) {
		table.push([...row]);
	}

	writeLine(table.toString());
}
