/** `mulberrypitch status`: shows hosts, back ends and the leader of the control group, as known to one entry host. */
import type {CAC} from 'cac';
import type {BackendServer, ReplicaStatus, Session} from '@mulberrypitch/control/types';
import {callOperatorApi} from '../operator-client.js';
import {addOperatorApiOptions, parseOperatorEndpoint, type OperatorApiOptions} from '../options.js';
import {writeJson, writeLine, writeTable} from '../output.js';

type Status = {
	readonly node: string;
	readonly isReady: boolean;
	readonly revision: number;
	readonly running: number;
	readonly sessions: readonly Session[];
	readonly backends: readonly BackendServer[];
	readonly leader?: ReplicaStatus;
};

/**
Adds the `status` command to the program.

@example
```
addStatusCommand(program);
```
*/
export function addStatusCommand(program: CAC): void {
	addOperatorApiOptions(program.command('status', 'Show hosts, back ends and the leader'))
		.action(async (options: OperatorApiOptions) => showStatus(options));
}

async function showStatus(options: OperatorApiOptions): Promise<void> {
	const status = await callOperatorApi<Status>(parseOperatorEndpoint(options), 'GET', '/v1/admin/status');
	if (options.json === true) {
		writeJson(status);
		return;
	}

	writeLine(`${status.node}: ${status.isReady ? 'ready' : 'not ready'}, revision ${status.revision}, ${status.running} requests in progress`);
	writeLine(`leader: ${status.leader?.leader ?? 'not known'}, committed ${status.leader?.commitIndex ?? 0}`);
	writeTable(['host', 'zone', 'address', 'state'], status.sessions.map(session =>
		[session.node, session.zone, session.publicAddress, session.isDraining ? 'draining' : 'serving']));
	writeTable(['back end', 'zone', 'services', 'version', 'slots', 'state'], status.backends.map(backend =>
		[backend.id, backend.zone, backend.services.join(', '), backend.version ?? '', backend.capabilities.slots, backend.isLeaving ? 'leaving' : 'serving']));
}
