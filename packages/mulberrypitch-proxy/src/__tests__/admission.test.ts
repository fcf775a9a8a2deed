/** Tests which requests a configuration admits, whatever letters its names and keys have. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import t from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {RouteTable} from '@mulberrypitch/serving/route-table';
import type {ServingConfiguration, Workspace} from '@mulberrypitch/serving/types';
import {admitRequest} from '../admission.js';

const workspaces = [{name: 'Łódź Print', keys: ['klucz-ł']}, {name: 'Café', keys: ['clé']}, {name: 'line\r\nmodel: m', keys: ['stored']}];
const table = new RouteTable(assumeType<ServingConfiguration>({
	version: 1, routes: [{name: 'r', host: 'h', pathPrefix: '/'}], services: [], workspaces: assumeType<Workspace[]>(workspaces), limits: {maxHeaderBytes: 1024},
}));

/** Returns a request with a key in the bytes of an encoding. */
function createRequest(key: string, encoding: 'utf8' | 'latin1'): IncomingMessage {
	return assumeType<IncomingMessage>({
		url: '/', headers: {host: 'h', authorization: `Bearer ${Buffer.from(key, encoding).toString('latin1')}`}, rawHeaders: [],
	});
}

// Guards against a caller who is refused with a key that the configuration has, or taken for another one.
await t.test('a key admits its workspace in UTF-8, and in Latin-1 if it has all the letters', async t => {
	t.match(admitRequest(createRequest('klucz-ł', 'utf8'), table), {kind: 'admitted', workspace: {name: 'Łódź Print'}});
	t.match(admitRequest(createRequest('clé', 'utf8'), table), {kind: 'admitted', workspace: {name: 'Café'}});
	t.match(admitRequest(createRequest('clé', 'latin1'), table), {kind: 'admitted', workspace: {name: 'Café'}});
	t.match(admitRequest(createRequest('klucz-ł', 'latin1'), table), {kind: 'rejected', reply: {status: 401}});
});

// Guards against a request that runs under a name of which a header carries only a part, by a configuration that an earlier version has stored.
await t.test('a request of a workspace that no header can name is refused, and has not run', async t => {
	t.match(admitRequest(createRequest('stored', 'utf8'), table), {kind: 'rejected', reply: {status: 503}});
});
