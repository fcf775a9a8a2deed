/** Identifies the contents of a request by which the control group finds out what crashes back ends. */
import {createHash} from 'node:crypto';
import {maxContentParts} from '@mulberrypitch/control/commands';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import type {IncomingCall} from './types.js';

/**
Returns the fingerprint of a whole request. Requests of one workspace with the same content have the same fingerprint.

@example
```
const fingerprint = getContentDigest(call);
```
*/
export function getContentDigest({workspace, service, body: {method, path, text}}: IncomingCall): string {
	return hash([workspace.name, service.name, method, path, text]);
}

/**
Returns the fingerprints of the messages that other chats may share with this one: all but the last one. Returns an empty list for a
request that is not a chat.

@example
```
const parts = getContentParts(call);
```
*/
export function getContentParts({service, body: {text}}: IncomingCall): readonly string[] {
	if (service.kind !== 'engine') {
		return [];
	}

	const {messages} = assumeType<{readonly messages?: unknown}>(JSON.parse(text));
	return Array.isArray(messages) ? messages.slice(0, -1).slice(0, maxContentParts).map(message => hash([service.name, message])) : [];
}

function hash(values: readonly unknown[]): string {
	return createHash('sha256').update(JSON.stringify(values)).digest('hex');
}
