/** Schemas and types of the parameters of calls to and between the replicas of the control group, and types of the replies. */
import * as z from 'zod';
import type {AccountRecord} from '@mulberrypitch/account/types';
import type {Members} from '@mulberrypitch/storage/types';

const maxCommandsPerCall = 1024;

/** Schema of an integer that is not negative. */
const integer = z.number().int().nonnegative();

const logEntry = z.object({
	index: integer, term: integer, time: z.number(), command: z.unknown(),
});

/** Schema of a vote request. A probe (pre-vote) asks whether the vote would be granted and changes nothing. */
export const voteRequestSchema = z.object({
	group: z.string(),
	term: integer,
	candidate: z.string(),
	/** The `replicaId` of the called replica according to the candidate's log. A replica that lost its disk has a new id and grants no vote. */
	voterId: z.string(),
	lastIndex: integer,
	lastTerm: integer,
	isProbe: z.boolean(),
});

/** Schema of a call that appends log entries to a follower's log. A call without entries is a heartbeat. */
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

/** Schema of a request for the id of a replica and the founders (initial voters) that it knows. */
export const identityRequestSchema = z.object({group: z.string()});

/** Limit on the length of one part of a snapshot, in characters. */
const maxSnapshotChunkLength = 1024 * 1024;

/** Schema of a call with one part of a snapshot. The parts are slices of the JSON text of the state. */
export const snapshotRequestSchema = z.object({
	group: z.string(),
	term: integer,
	leader: z.string(),
	index: integer,
	/** Term of the entry at `index`. */
	snapshotTerm: integer,
	/** Time of the entry at `index`: the leader's wall-clock time in milliseconds. */
	time: z.number(),
	/** Replica ids of the voters as of `index`, by name. */
	members: z.record(z.string(), z.string()),
	/** Sequence number and hash of the last audit record as of `index`. */
	head: z.object({sequence: integer, hash: z.string()}),
	/** Number of characters before this part. */
	offset: integer,
	/** Length of the whole text in characters. */
	length: integer,
	data: z.string().max(maxSnapshotChunkLength),
});

/** Schema of a call by which a replica reads the audit records that it lacks from the leader. */
export const recordsRequestSchema = z.object({group: z.string(), from: z.number().int().positive()});

/** Schema of a call that proposes commands. The `ControlService` of the called replica validates each command by `commandSchema`. */
export const proposalSchema = z.object({commands: z.array(z.unknown()).max(maxCommandsPerCall)});

/** Schema of a session renewal, which also reports the versions that the host has, so that the reply holds only what changed. */
export const renewalSchema = z.object({
	group: z.string(),
	node: z.string(),
	epoch: integer,
	knownRevision: integer,
	/** Version of the membership (sessions and back ends, not the voters) that the host knows, or -1 if it knows none. */
	knownMembership: z.number().int(),
	/** Log index of the latest transfer of a request to the host that the host knows of, or 0 if it knows none. */
	knownAssignment: integer,
	/** Back ends that announced themselves to the host since the last renewal that succeeded. */
	heardBackends: z.array(z.object({id: z.string(), incarnation: z.string()})),
	/** Digest of the effective configuration that the host uses: the base with the overlay of the host's site. */
	effectiveDigest: z.string(),
});

/** Schema of a look-up of one request. */
export const findRequestSchema = z.object({requestId: z.string()});

/** Schema of a call that reads the audit log for operators, starting at a sequence number. */
export const accountReadSchema = z.object({from: z.number().int().positive()});

/** Schema of a call that has no parameters. */
export const emptySchema = z.object({});

/** Parameters of a vote request. */
export type VoteRequest = z.infer<typeof voteRequestSchema>;

/** Parameters of an append call. */
export type AppendRequest = z.infer<typeof appendRequestSchema>;

/** Parameters of an identity call. */
export type IdentityRequest = z.infer<typeof identityRequestSchema>;

/** Parameters of a call with a snapshot part. */
export type SnapshotRequest = z.infer<typeof snapshotRequestSchema>;

/** Parameters of a replica's read of audit records. */
export type RecordsRequest = z.infer<typeof recordsRequestSchema>;

/** Parameters of a session renewal. */
export type Renewal = z.infer<typeof renewalSchema>;

/** Reply to a vote request. */
export type VoteReply = {
	/** Current term of the replica that replies. */
	readonly term: number;
	readonly isGranted: boolean;
	readonly replicaId: string;
};

/** Reply to an append call. */
export type AppendReply = {
	/** Current term of the replica that replies. */
	readonly term: number;
	/** Whether the follower's log has the entry before the sent ones, and so now has these too. */
	readonly isMatching: boolean;
	/** Index of the last matching entry or, without a match, the index at which the leader looks for a matching entry next. */
	readonly index: number;
	readonly replicaId: string;
};

/** Reply to an identity call. */
export type IdentityReply = {
	readonly replicaId: string;
	/** Initial voters of the group. Absent if the replica does not know them. */
	readonly founders?: Members;
	/** Whether this replica may bootstrap the group. */
	readonly canFound: boolean;
};

/** Reply to a snapshot part. */
export type SnapshotReply = {
	/** Current term of the replica that replies. */
	readonly term: number;
	readonly replicaId: string;
	/** Number of characters received so far. */
	readonly offset: number;
	/** Whether the state up to the snapshot's index is stored. */
	readonly isInstalled: boolean;
};

/** Reply to a replica's read of audit records. */
export type RecordsReply = {
	readonly records: readonly AccountRecord[];
};
