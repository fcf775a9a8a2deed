/** Request and response bodies of the HTTP interface of an entry host. */
import * as z from 'zod';

const nameSchema = z.string().min(1).max(200);

/** Schema of the announcement that a back end sends repeatedly. */
export const announcementSchema = z.strictObject({
	id: nameSchema,
	incarnation: nameSchema,
	address: z.url(),
	zone: nameSchema,
	machineClass: nameSchema.default('standard'),
	services: z.array(nameSchema).min(1).max(50),
	kind: z.enum(['engine', 'plain']),
	/** Version of the back end's software. Absent if the back end doesn't state one. */
	version: nameSchema.optional(),
	capabilities: z.strictObject({
		slots: z.number().int().min(1).max(10_000),
		checksFencing: z.boolean().default(false),
		movesCache: z.boolean().default(false),
	}),
	/** Time until the back end stops, in milliseconds. Absent while no stop is planned. */
	leavesInMs: z.number().min(0).optional(),
});

/** The announcement of a back end, with defaults applied. */
export type Announcement = z.infer<typeof announcementSchema>;

/** Schema of a change of the shared configuration, as operators send it. */
export const configurationChangeSchema = z.strictObject({
	changeId: nameSchema,
	expectedRevision: z.number().int().min(0),
	operator: nameSchema,
	base: z.string(),
	overlays: z.record(nameSchema, z.string()),
});

/** A change of the shared configuration that matches the schema. Its files have not been validated. */
export type ConfigurationChange = z.infer<typeof configurationChangeSchema>;

/** An entry host that callers can send requests to. */
export type EntryAddress = {
	/** Base URL for callers. */
	readonly address: string;
	readonly zone: string;
};

/** The entry hosts that callers can send requests to, best first. */
export type EntryList = {
	readonly entries: readonly EntryAddress[];
	/** Time for which the list may be cached, in seconds. */
	readonly ttlSeconds: number;
};
