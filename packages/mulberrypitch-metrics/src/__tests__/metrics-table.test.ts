/** Compares the table of metrics in the docs with the code. */
import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import t from 'tap';

const root = path.resolve(import.meta.dirname, '../../../..');
const types: Readonly<Record<string, string>> = {count: 'counter', gauge: 'gauge', observe: 'summary'};

/** Returns the text of each source file that is not a test. */
function readSources(): readonly string[] {
	const packages = readdirSync(path.join(root, 'packages')).map(name => path.join(root, 'packages', name));
	const folders = [...packages, path.join(root, 'platform')].map(folder => path.join(folder, 'src'));
	const files = folders.flatMap(folder => readdirSync(folder).filter(name => name.endsWith('.ts')).map(name => path.join(folder, name)));
	return files.map(file => readFileSync(file, 'utf8'));
}

function findInCode(): readonly string[] {
	return [...readSources().join('\n').matchAll(/\.(?<call>count|gauge|observe)\('(?<name>mulberrypitch_[a-z_]+)', '(?<help>[^']*)'/gv)]
		.map(({groups}) => `${groups!.name} ${types[groups!.call!]} ${groups!.help}`);
}

await t.test('the docs list the metrics of the code, with their types and help texts', async t => {
	const rows = [...readFileSync(path.join(root, 'docs/metrics.md'), 'utf8').matchAll(/^\| `(?<name>\w+)` \| (?<type>\w+) \| (?<help>[^\|]+) \|$/gmv)]
		.map(({groups}) => `${groups!.name} ${groups!.type} ${groups!.help}`);
	t.same(rows.toSorted(), [...new Set(findInCode())].toSorted());
});

await t.test('every name of a metric is followed by its help text in the code', async t => {
	const names = readSources().flatMap(text => [...text.matchAll(/'(?<name>mulberrypitch_[a-z_]+)'/gv)].map(({groups}) => groups!.name!));
	const listed = new Set(findInCode().map(row => row.split(' ', 1)[0]!));
	t.same(names.filter(name => !listed.has(name)), []);
});
