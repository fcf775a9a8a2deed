/** The commands of the replicated log. Commands are idempotent, because one is proposed again when its result was lost. */
import * as z from 'zod';

const maxNameLength = 200;
const maxConfigurationLength = 1_000_000;
const maxStoredAnswerLength = 64_000;
/** Maximum number of parts of one request's content. */
export const maxContentParts = 16;

const name = z.string().min(1).max(maxNameLength);
const integer = z.number().int().nonnegative();
/** Fingerprints of the parts of a request's content that other requests may share. */
const parts = z.array(name).max(maxContentParts).readonly();

const capabilities = z.strictObject({
	slots: z.number().int().positive(),
	checksFencing: z.boolean(),
	movesCache: z.boolean(),
});

const outcome = z.strictObject({
	end: z.enum(['answered', 'notRun', 'unknown', 'failed']),
	digest: z.string(),
	lengthBytes: integer,
	chunkCount: integer.optional(),
	code: name.optional(),
	retryAfterSeconds: z.number().optional(),
	answer: z.strictObject({
		status: integer,
		contentType: z.string(),
		body: z.string().max(maxStoredAnswerLength),
	}).optional(),
});

const maxLoadedNames = 100;

const desired = z.strictObject({
	role: name,
	models: z.array(name).max(maxLoadedNames),
	adapters: z.array(name).max(maxLoadedNames),
});

/** Schema of all commands. */
export const commandSchema = z.discriminatedUnion('kind', [
	z.strictObject({kind: z.literal('leaderStarted'), leader: name}),
	z.strictObject({
		kind: z.literal('openSession'),
		node: name,
		incarnation: name,
		peerAddress: name,
		publicAddress: name,
		zone: name,
		region: name,
		site: name,
	}),
	z.strictObject({kind: z.literal('drainSession'), node: name, epoch: integer}),
	z.strictObject({
		kind: z.literal('closeSession'), node: name, epoch: integer, cause: z.enum(['left', 'expired']),
	}),
	z.strictObject({
		kind: z.literal('registerBackend'),
		id: name,
		incarnation: name,
		address: name,
		zone: name,
		machineClass: name,
		services: z.array(name).min(1),
		backendKind: z.enum(['engine', 'plain']),
		version: name.optional(),
		capabilities,
	}),
	z.strictObject({
		kind: z.literal('leaveBackend'), id: name, incarnation: name, leavesAt: z.number(),
	}),
	z.strictObject({
		kind: z.literal('removeBackend'), id: name, incarnation: name, cause: z.enum(['left', 'silent', 'replaced']),
	}),
	z.strictObject({
		kind: z.literal('acceptRequest'),
		requestId: name,
		customer: name,
		service: name,
		digest: name,
		fingerprint: name,
		parts: parts.optional(),
		idempotencyKey: name.optional(),
		isIdempotent: z.boolean(),
		holder: name,
		holderEpoch: integer,
		standby: name.optional(),
		entryTime: z.number(),
	}),
	z.strictObject({
		kind: z.literal('recordIntent'),
		requestId: name,
		epoch: integer,
		attempt: z.number().int().positive(),
		backend: name,
		/** Whether the request may have crashed a back end. The command is then rejected unless the request can run isolated. */
		isSuspect: z.boolean().optional(),
		entryTime: z.number(),
	}),
	z.strictObject({
		kind: z.literal('recordNotSent'), requestId: name, epoch: integer, attempt: z.number().int().positive(),
	}),
	z.strictObject({
		kind: z.literal('changeStandby'), requestId: name, epoch: integer, standby: name,
	}),
	z.strictObject({
		kind: z.literal('transferRequest'), requestId: name, epoch: integer, holder: name,
	}),
	z.strictObject({
		kind: z.literal('finishRequest'), requestId: name, epoch: integer, entryTime: z.number(), outcome,
	}),
	z.strictObject({
		kind: z.literal('applyConfiguration'),
		changeId: name,
		expectedRevision: integer,
		operator: name,
		digest: name,
		files: z.strictObject({
			base: z.string().max(maxConfigurationLength),
			overlays: z.record(name, z.string().max(maxConfigurationLength)),
		}),
	}),
	z.strictObject({kind: z.literal('setDesired'), backend: name, desired: desired.optional()}),
	z.strictObject({
		kind: z.literal('chargeFingerprint'), fingerprint: name, parts: parts.optional(), backend: name, incarnation: name,
	}),
]);

/** A command of the replicated log. */
export type Command = z.infer<typeof commandSchema>;

/** A command of one kind. */
export type CommandOf<Kind extends Command['kind']> = Extract<Command, {readonly kind: Kind}>;
