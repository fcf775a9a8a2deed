/** Who sent a request. */
import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {UnauthorizedError} from '@mulberrypitch/errors/catalogue';
import type {SharedConfiguration, Workspace} from '@mulberrypitch/config/types';

const bearerPrefix = 'Bearer ';

/**
Finds the workspace of a caller by the digest of its key. Compares with every workspace, in constant time each.

@example
```
const workspace = getWorkspace(request, configuration);
```
*/
export function getWorkspace(request: IncomingMessage, configuration: SharedConfiguration): Workspace {
	const digest = createHash('sha256').update(getBearer(request)).digest();
	let found: Workspace | undefined;
	for (const workspace of configuration.workspaces) {
		if (timingSafeEqual(digest, Buffer.from(workspace.keyDigest, 'hex'))) {
			found = workspace;
		}
	}

	if (found === undefined) {
		throw new UnauthorizedError('The workspace key is not known.');
	}

	return found;
}

/**
Checks a fixed token.

@example
```
requireToken(request, settings.operatorToken);
```
*/
export function requireToken(request: IncomingMessage, token: string): void {
	const expected = createHash('sha256').update(token).digest();
	const given = createHash('sha256').update(getBearer(request)).digest();
	if (!timingSafeEqual(expected, given)) {
		throw new UnauthorizedError('The token is not valid.');
	}
}

function getBearer(request: IncomingMessage): string {
	const {authorization} = request.headers;
	if (!authorization?.startsWith(bearerPrefix)) {
		throw new UnauthorizedError('The request has no key.');
	}

	return authorization.slice(bearerPrefix.length);
}
