/** Authentication of callers, back ends and operators by bearer token. */
import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {UnauthorizedError} from '@mulberrypitch/errors/catalogue';
import type {SharedConfiguration, Workspace} from '@mulberrypitch/config/types';

const bearerPrefix = 'Bearer ';

/**
Returns the workspace to which the key of a request belongs. Throws `UnauthorizedError` when the request has no key or the key
belongs to no workspace. The digests of the key are compared with that of every workspace in constant time, so that the duration
does not depend on the key.

@example
```
const workspace = getWorkspace(request, configuration);
```
*/
export function getWorkspace(request: IncomingMessage, configuration: SharedConfiguration): Workspace {
	const owners = getTokenDigests(request).flatMap(digest => findOwners(digest, configuration));
	if (owners[0] === undefined) {
		throw new UnauthorizedError('The key does not belong to a workspace.');
	}

	return owners[0];
}

/**
Throws `UnauthorizedError` unless a request has the given bearer token.

@example
```
requireToken(request, settings.operatorToken);
```
*/
export function requireToken(request: IncomingMessage, token: string): void {
	const expected = getDigest(token);
	if (!getTokenDigests(request).some(given => timingSafeEqual(expected, given))) {
		throw new UnauthorizedError('The bearer token is not valid.');
	}
}

/** Returns the workspaces whose key has a digest, all of which are compared. */
function findOwners(digest: Uint8Array, {workspaces}: SharedConfiguration): Workspace[] {
	return workspaces.filter(({keyDigest}) => timingSafeEqual(digest, Buffer.from(keyDigest, 'hex')));
}

/** Returns the digests of the token that a request has, as UTF-8 and as Latin-1: the sender may have used either. */
function getTokenDigests(request: IncomingMessage): Uint8Array[] {
	const token = getBearerToken(request);
	return [getDigest(Buffer.from(token, 'latin1')), getDigest(token)];
}

function getDigest(token: string | Uint8Array): Uint8Array {
	return createHash('sha256').update(token).digest();
}

function getBearerToken(request: IncomingMessage): string {
	const {authorization} = request.headers;
	if (!authorization?.startsWith(bearerPrefix)) {
		throw new UnauthorizedError('The request has no bearer token.');
	}

	return authorization.slice(bearerPrefix.length);
}
