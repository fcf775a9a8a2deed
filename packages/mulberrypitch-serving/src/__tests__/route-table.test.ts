/** Tests of the look-up of routes. */
import fc from 'fast-check';
import t from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {RouteTable} from '../route-table.js';
import type {Route, ServingConfiguration} from '../types.js';

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
