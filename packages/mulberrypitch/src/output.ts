/** Writing results for people and for scripts. */
import process from 'node:process';
import Table from 'cli-table3';

/**
Writes one line.

@example
```
writeLine('done');
```
*/
export function writeLine(text: string): void {
	process.stdout.write(text + '\n');
}

/**
Writes a value as JSON.

@example
```
writeJson({revision: 1});
```
*/
export function writeJson(value: unknown): void {
	writeLine(JSON.stringify(value, undefined, '\t'));
}

/**
Writes rows under a head.

@example
```
writeTable(['node', 'zone'], [['a', 'z1']]);
```
*/
export function writeTable(head: readonly string[], rows: ReadonlyArray<ReadonlyArray<string | number>>): void {
	const table = new Table({head: [...head], style: {head: [], border: []}});
	for (const row of rows) {
		table.push([...row]);
	}

	writeLine(table.toString());
}
