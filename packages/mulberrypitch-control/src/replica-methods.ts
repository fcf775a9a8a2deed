/** The methods that other replicas of a group call on one replica. */
import {ProtocolError} from '@mulberrypitch/errors/catalogue';
import type {Transport} from '@mulberrypitch/transport/types';
import {
	appendRequestSchema,
	identityRequestSchema,
	recordsRequestSchema,
	snapshotRequestSchema,
	voteRequestSchema,
	type IdentityReply,
	type RecordsReply,
} from './messages.js';
import type {Elections} from './replica-elections.js';
import type {Follower} from './replica-follower.js';
import type {ReplicaLog} from './replica-log.js';
import type {RecordStore} from './replica-snapshot.js';

const maxRecordsPerCall = 1000;

/** Dependencies of the methods, provided by their replica. */
export type ReplicaMethodsOptions = {
	readonly group: string;
	readonly transport: Transport;
	readonly log: ReplicaLog;
	readonly account: RecordStore;
	readonly elections: Elections;
	readonly follower: Follower;
	/** Whether this replica may bootstrap the group. */
	readonly canFound: boolean;
};

/**
Registers the methods of a replica with its transport.

@example
```
registerReplicaMethods({group, transport, log, account, elections, follower, canFound: true});
```
*/
export function registerReplicaMethods(options: ReplicaMethodsOptions): void {
	const {
		group, transport, account, elections, follower,
	} = options;
	transport.handle(`${group}.identity`, identityRequestSchema, async request => {
		requireGroup(request, group);
		return getIdentity(options);
	});
	transport.handle(`${group}.vote`, voteRequestSchema, async request => {
		requireGroup(request, group);
		return elections.vote(request);
	});
	transport.handle(`${group}.append`, appendRequestSchema, async request => {
		requireGroup(request, group);
		return follower.append(request);
	});
	transport.handle(`${group}.snapshot`, snapshotRequestSchema, async request => {
		requireGroup(request, group);
		return follower.receiveSnapshot(request);
	});
	transport.handle(`${group}.records`, recordsRequestSchema, async (request): Promise<RecordsReply> => {
		requireGroup(request, group);
		return {records: account.read(request.from, maxRecordsPerCall)};
	});
}

function requireGroup(request: {readonly group: string}, group: string): void {
	if (request.group !== group) {
		throw new ProtocolError(`Group ${request.group} is not served here.`);
	}
}

function getIdentity({log, canFound}: ReplicaMethodsOptions): IdentityReply {
	const {replicaId, founders} = log.hardState;
	return {replicaId, canFound, ...(founders !== undefined && {founders})};
}
