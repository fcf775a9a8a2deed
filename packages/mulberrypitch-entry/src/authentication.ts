/** Authentication of callers, back ends and operators by bearer token. */
import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {UnauthorizedError} from '@mulberrypitch/errors/catalogue';
import type {SharedConfiguration, Workspace} from '@mulberrypitch/config/types';

const bearerPrefix = 'Bearer ';

/**
Returns the workspace to which the key of a request belongs. Throws `UnauthorizedError` when the request has no key or the key
belongs to no workspace. The digest of the key is compared with that of every workspace in constant time, so that the duration
does not depend on the key.

@example
```
const workspace = getWorkspace(request, configuration);
```
*/
export function getWorkspace(request: IncomingMessage, configuration: SharedConfiguration): Workspace {
	const digest = createHash('sha256').update(getBearerToken(request)).digest();
	let found: Workspace | undefined;
	for (const workspace of configuration.workspaces) {
		if (timingSafeEqual(digest, Buffer.from(workspace.keyDigest, 'hex'))) {
			found = workspace;
		}
	}

	if (found === undefined) {
		throw new UnauthorizedError('The key does not belong to a workspace.');
	}

	return found;
}

/**
Throws `UnauthorizedError` unless a request has the given bearer token.

@example
```
requireToken(request, settings.operatorToken);
```
*/
export function requireToken(request: IncomingMessage, token: string): void {
	const expected = createHash('sha256').update(token).digest();
	const given = createHash('sha256').update(getBearerToken(request)).digest();
	if (!timingSafeEqual(expected, given)) {
		throw new UnauthorizedError('The bearer token is not valid.');
	}
}

function getBearerToken(request: IncomingMessage): string {
	const {authorization} = request.headers;
	if (!authorization?.startsWith(bearerPrefix)) {
		throw new UnauthorizedError('The request has no bearer token.');
	}

	return authorization.slice(bearerPrefix.length);
}
