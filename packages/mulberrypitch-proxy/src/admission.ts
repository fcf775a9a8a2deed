/** Admission of requests by the configuration in force. */
import type {IncomingMessage} from 'node:http';
import {isHeaderText} from '@mulberrypitch/lifecycle/header-text';
import type {RouteTable} from '@mulberrypitch/serving/route-table';
import type {Route, Workspace} from '@mulberrypitch/serving/types';
import type {LocalReply} from './local-replies.js';

/** The route of a request and the workspace of its API key, or the reply to a rejected request. */
export type Admission
	= | {readonly kind: 'admitted'; readonly route: Route; readonly workspace: Workspace | undefined}
		| {readonly kind: 'rejected'; readonly reply: LocalReply};

/**
Returns the route and the workspace of a request, or the reply that rejects it.

@example
```
const admission = admitRequest(request, table);
```
*/
export function admitRequest(request: IncomingMessage, table: RouteTable): Admission {
	if (getHeaderBytes(request) > table.configuration.limits.maxHeaderBytes) {
		return reject(431, 'headers too large');
	}

	const route = table.findRoute(request.headers.host ?? '', request.url ?? '');
	if (route === undefined) {
		return reject(404, 'no route');
	}

	if (!table.requiresKeys) {
		return {kind: 'admitted', route, workspace: undefined};
	}

	const key = /^bearer (?<key>.+)$/iv.exec(request.headers.authorization ?? '')?.groups?.key ?? '';
	const workspace = table.findWorkspace(key);
	if (workspace === undefined) {
		return route.isPublic ? {kind: 'admitted', route, workspace} : reject(401, 'unknown key');
	}

	// The check of configurations refuses such names, but earlier versions have stored some.
	return isHeaderText(workspace.name) ? {kind: 'admitted', route, workspace} : reject(503, 'no header can carry the name of the workspace');
}

function reject(status: number, reason: string): Admission {
	return {kind: 'rejected', reply: {status, reason}};
}

function getHeaderBytes({rawHeaders}: IncomingMessage): number {
	return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}
