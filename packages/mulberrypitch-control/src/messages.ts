/** Schemas of the calls between processes of one group, and the types of their parameters and replies. */
import * as z from 'zod';
import type {AccountRecord} from '@mulberrypitch/account/types';
import type {Members} from '@mulberrypitch/storage/types';

const maxCommandsPerCall = 1024;

const integer = z.number().int().nonnegative();

const logEntry = z.object({
	index: integer, term: integer, time: z.number(), command: z.unknown(),
});

/** Requests a vote. A probe asks whether the vote would be granted and changes nothing. */
export const voteRequestSchema = z.object({
	group: z.string(),
	term: integer,
	candidate: z.string(),
	/** Replica id that the candidate's log lists for the called replica. */
	voterId: z.string(),
	lastIndex: integer,
	lastTerm: integer,
	isProbe: z.boolean(),
});

/** Appends entries on a follower. Without entries it is a heartbeat. */
export const appendRequestSchema = z.object({
	group: z.string(),
	term: integer,
	leader: z.string(),
	previousIndex: integer,
	previousTerm: integer,
	entries: z.array(logEntry),
	commitIndex: integer,
}).refine(
	({previousIndex, entries}) => entries.every(({index}, position) => index === previousIndex + 1 + position),
	{error: 'Entries must follow each other.'},
);

/** Requests the identity of a replica and the initial voters that it knows. */
export const identityRequestSchema = z.object({group: z.string()});

const maxSnapshotChunkLength = 1024 * 1024;

/** Transfers one part of a snapshot. The parts are slices of the JSON text of the state. */
export const snapshotRequestSchema = z.object({
	group: z.string(),
	term: integer,
	leader: z.string(),
	index: integer,
	snapshotTerm: integer,
	time: z.number(),
	members: z.record(z.string(), z.string()),
	head: z.object({sequence: integer, hash: z.string()}),
	/** Number of characters before this part. */
	offset: integer,
	/** Number of characters of the whole text. */
	length: integer,
	data: z.string().max(maxSnapshotChunkLength),
});

/** Reads audit records that a replica lacks. */
export const recordsRequestSchema = z.object({group: z.string(), from: z.number().int().positive()});

/** Proposes commands. Each command is validated by its own schema. */
export const proposalSchema = z.object({commands: z.array(z.unknown()).max(maxCommandsPerCall)});

/** Renews a session and reports which state its host knows. */
export const renewalSchema = z.object({
	group: z.string(),
	node: z.string(),
	epoch: integer,
	knownRevision: integer,
	knownMembership: z.number().int(),
	/** Log index of the latest transfer of a request that the host has received. */
	knownAssignment: integer,
	/** Back ends that announced themselves to the host since the last renewal. */
	heardBackends: z.array(z.object({id: z.string(), incarnation: z.string()})),
	/** Digest of the effective configuration of the host's site. */
	effectiveDigest: z.string(),
});

/** Looks up one request. */
export const requestLookupSchema = z.object({requestId: z.string()});

/** Reads the audit log, starting at a sequence number. */
export const accountReadSchema = z.object({from: z.number().int().positive()});

/** Parameters of a call without any. */
export const emptySchema = z.object({});

/** Parameters of a vote request. */
export type VoteRequest = z.infer<typeof voteRequestSchema>;

/** Parameters of an append call. */
export type AppendRequest = z.infer<typeof appendRequestSchema>;

/** Parameters of an identity call. */
export type IdentityRequest = z.infer<typeof identityRequestSchema>;

/** Parameters of a call with a snapshot part. */
export type SnapshotRequest = z.infer<typeof snapshotRequestSchema>;

/** Parameters of a read of audit records. */
export type RecordsRequest = z.infer<typeof recordsRequestSchema>;

/** Parameters of a session renewal. */
export type Renewal = z.infer<typeof renewalSchema>;

/** Reply to a vote request. */
export type VoteReply = {
	readonly term: number;
	readonly isGranted: boolean;
	readonly replicaId: string;
};

/** Reply to an append call. */
export type AppendReply = {
	readonly term: number;
	readonly isMatching: boolean;
	/** Index of the last matching entry or, without a match, the index where the leader continues its search. */
	readonly index: number;
	readonly replicaId: string;
};

/** Reply to an identity call. */
export type IdentityReply = {
	readonly replicaId: string;
	readonly founders?: Members;
	/** Whether this replica may bootstrap the group. */
	readonly canFound: boolean;
};

/** Reply to a snapshot part. */
export type SnapshotReply = {
	readonly term: number;
	readonly replicaId: string;
	/** Number of characters received so far. */
	readonly offset: number;
	/** Whether the state up to the snapshot's index is stored. */
	readonly isInstalled: boolean;
};

/** Reply to a read of audit records. */
export type RecordsReply = {
	readonly records: readonly AccountRecord[];
};
