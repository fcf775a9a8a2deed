/** Tests of the look-up of routes. */
import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import t from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {RouteTable} from '../route-table.js';
import type {Route, ServingConfiguration, Workspace} from '../types.js';

const segments = fc.array(fc.constantFrom('a', 'b', 'ab', ''), {maxLength: 4});
const prefix = segments.map(list => `/${list.map(segment => `${segment}/`).join('')}`);
const path = fc.tuple(segments, fc.constantFrom('', '/', '?q=/a/', 'a?/')).map(([list, end]) => `/${list.join('/')}${end}`);
const host = fc.constantFrom('one', 'One', 'two');

// Guards against a request that gets another route than the one with the longest prefix that matches.
await t.test('the look-up by prefixes finds the route that a search of all routes finds', async t => {
	fc.assert(fc.property(fc.array(fc.record({host, pathPrefix: prefix})), host, path, (list, name, target) => {
		const routes = list.map((fields, index) => assumeType<Route>({...fields, name: String(index)}));
		const table = new RouteTable(assumeType<ServingConfiguration>({version: 1, routes, services: []}));
		const matching = routes.filter(route => route.host.toLowerCase() === name.toLowerCase() && target.split('?', 1)[0]!.startsWith(route.pathPrefix));
		const [expected] = matching.toSorted((left, right) => right.pathPrefix.length - left.pathPrefix.length);
		t.equal(table.findRoute(`${name}:80`, target), expected);
	}), {numRuns: 500, seed: 4});
});

/** Returns a text as Node.js reads its bytes from a head. */
function readFromHead(text: string, encoding: 'utf8' | 'latin1' = 'utf8'): string {
	return Buffer.from(text, encoding).toString('latin1');
}

function createTable(routes: ReadonlyArray<Partial<Route>>, workspaces: readonly Workspace[] = []): RouteTable {
	return new RouteTable(assumeType<ServingConfiguration>({
		version: 1, routes, services: [], workspaces,
	}));
}

// Guards against a caller who is refused with a key that the configuration has.
await t.test('a key is found in UTF-8, and in Latin-1 if it has all the letters', async t => {
	const workspace = assumeType<Workspace>({name: 'w', keys: ['klucz-łódź', 'clé', 'plain']});
	const table = createTable([], [workspace]);
	for (const key of [readFromHead('klucz-łódź'), readFromHead('clé'), readFromHead('clé', 'latin1'), 'plain']) {
		t.equal(table.findWorkspace(key), workspace, key);
	}

	t.equal(table.findWorkspace(readFromHead('klucz-łódź', 'latin1')), undefined, 'the low bytes of a key are no key');
});
