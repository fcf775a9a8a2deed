/** Parameters of the calls between processes of one group, with their schemas. */
import {z} from 'zod';

const maxCommandsPerCall = 1024;

const integer = z.number().int().nonnegative();

const logEntry = z.object({
	index: integer, term: integer, time: z.number(), command: z.unknown(),
});

/** Asks for a vote, or, as a probe, whether it would be given. */
export const voteRequestSchema = z.object({
	group: z.string(),
	term: integer,
	candidate: z.string(),
	lastIndex: integer,
	lastTerm: integer,
	isProbe: z.boolean(),
});

/** Brings entries to a follower; without entries it only renews the lead. */
export const appendRequestSchema = z.object({
	group: z.string(),
	term: integer,
	leader: z.string(),
	previousIndex: integer,
	previousTerm: integer,
	entries: z.array(logEntry),
	commitIndex: integer,
});

/** Proposes commands; each is checked by its own schema. */
export const proposalSchema = z.object({commands: z.array(z.unknown()).max(maxCommandsPerCall)});

/** Renews a session and tells what its host knows. */
export const renewalSchema = z.object({
	group: z.string(),
	node: z.string(),
	epoch: integer,
	knownRevision: integer,
	knownMembership: z.number().int(),
	/** Back ends that announced themselves there since the last renewal. */
	heardBackends: z.array(z.object({id: z.string(), incarnation: z.string()})),
	/** Digest of the effective configuration of the host's site. */
	effectiveDigest: z.string(),
});

/** Looks up one request. */
export const requestLookupSchema = z.object({requestId: z.string()});

/** Reads the account from a sequence number on. */
export const accountReadSchema = z.object({from: z.number().int().positive()});

/** Parameters of a call that needs none. */
export const emptySchema = z.object({});

/** Parameters of a vote. */
export type VoteRequest = z.infer<typeof voteRequestSchema>;

/** Parameters of an append. */
export type AppendRequest = z.infer<typeof appendRequestSchema>;

/** Parameters of a renewal. */
export type Renewal = z.infer<typeof renewalSchema>;

/** Answer to a vote. */
export type VoteReply = {
	readonly term: number;
	readonly isGranted: boolean;
};

/** Answer to an append. */
export type AppendReply = {
	readonly term: number;
	readonly isMatching: boolean;
	/** Last index that matches, or where to go on looking. */
	readonly index: number;
};
