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

// Guards against a route that the configuration has and no caller can use, since its host has letters beyond ASCII.
await t.test('a host is found in each spelling that callers use', async t => {
	const table = createTable([{name: 'city', host: 'Łódź.example', pathPrefix: '/'}, {name: 'plain', host: 'One.example', pathPrefix: '/'}]);
	for (const spelling of ['xn--d-uga0v4h.example', 'XN--D-UGA0V4H.example:80', readFromHead('łódź.example'), readFromHead('ŁÓDŹ.EXAMPLE:80')]) {
		t.equal(table.findRoute(spelling, '/')?.name, 'city', spelling);
	}

	t.equal(createTable([{name: 'café', host: 'café.example', pathPrefix: '/'}]).findRoute(readFromHead('café.example', 'latin1'), '/')?.name, 'café');
	t.equal(table.findRoute('oNe.example:80', '/')?.name, 'plain');
	t.equal(table.findRoute(readFromHead('łódż.example'), '/'), undefined);
});

// Guards against a route that the configuration has and no caller can use, since paths have other letters than prefixes.
await t.test('a prefix is found in each spelling that paths have', async t => {
	const table = createTable(['/żółć/', '/%C5%BCar/', '/a b/', '/a%2fb/'].map(pathPrefix => ({name: pathPrefix, host: 'h', pathPrefix})));
	for (const [path, name] of [
		['/%C5%BC%C3%B3%C5%82%C4%87/x', '/żółć/'],
		['/%c5%bc%c3%b3%c5%82%c4%87/', '/żółć/'],
		['/%c5%bcar/x?q=/', '/%C5%BCar/'],
		['/a%20b/', '/a b/'],
		['/a%2fb/', '/a%2fb/'],
		['/a%2Fb/', undefined],
		['/zolc/', undefined],
	] as const) {
		t.equal(table.findRoute('h', path)?.name, name, path);
	}
});

// Guards against a caller who is refused with a key that the configuration has.
await t.test('a key is found in UTF-8, and in Latin-1 if it has all the letters', async t => {
	const workspace = assumeType<Workspace>({name: 'w', keys: ['klucz-łódź', 'clé', 'plain']});
	const table = createTable([], [workspace]);
	for (const key of [readFromHead('klucz-łódź'), readFromHead('clé'), readFromHead('clé', 'latin1'), 'plain']) {
		t.equal(table.findWorkspace(key), workspace, key);
	}

	t.equal(table.findWorkspace(readFromHead('klucz-łódź', 'latin1')), undefined, 'the low bytes of a key are no key');
});
