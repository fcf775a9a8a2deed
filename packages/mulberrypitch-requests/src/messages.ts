/** Schemas and types of the messages between holders, standbys and readers. */
import * as z from 'zod';

const chunk = z.object({offset: z.number().int().nonnegative(), text: z.string()});

/** The copy of a request that a holder sends to its standby. */
export const heldCopySchema = z.object({
	requestId: z.string(),
	fingerprint: z.string(),
	parts: z.array(z.string()).default([]),
	epoch: z.number().int().positive(),
	customer: z.string(),
	service: z.string(),
	kind: z.enum(['engine', 'plain']).optional(),
	body: z.object({
		method: z.enum(['GET', 'POST']), path: z.string(), contentType: z.string(), text: z.string(),
	}),
	isIdempotent: z.boolean(),
	deadlineAt: z.number(),
	prefix: z.string(),
	maxTokens: z.number(),
	chunks: z.array(chunk),
	version: z.string().optional(),
});

/** Parameters of the call that asks another host for its copy of a request, with the epoch and the standby from the request's record. */
export const copySchema = z.object({
	requestId: z.string(), copyEpoch: z.number().int().positive(), standby: z.string().optional(),
});

/** New chunks of an answer that a holder sends to its standby, with the software version of the back end that wrote its first one. */
export const progressSchema = z.object({
	requestId: z.string(), epoch: z.number().int().positive(), chunks: z.array(chunk), version: z.string().optional(),
});

/** Parameters of the call that informs a standby of the end of a request. */
export const releaseSchema = z.object({requestId: z.string()});

/**
Parameters of a read of an answer from an offset on. For an ended request, `endedCopyEpoch` is the epoch of the copy that the
standby may return in place of the holder's answer.
*/
export const readSchema = z.object({
	requestId: z.string(), fromOffset: z.number().int().nonnegative(), endedCopyEpoch: z.number().int().positive().optional(),
});

/** Parameters of a read of an answer. */
export type ReadRequest = z.infer<typeof readSchema>;

/** Parameters of a progress message. */
export type Progress = z.infer<typeof progressSchema>;

/** Reply to a progress message: the number of chunks that the standby has stored. */
export type ProgressReply = {
	readonly length: number;
};

/** Parameters of the call that asks another host for a copy. */
export type CopyRequest = z.infer<typeof copySchema>;
