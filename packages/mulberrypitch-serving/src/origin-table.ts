/** Where streams began, as entries and coordinators remember it: the service and the software version of the first back end. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {KnownOrigins, OriginGroup, StreamOrigin} from './view-messages.js';

/** Time in milliseconds for which an origin is remembered: longer than callers come again for a stream. */
const retentionMs = 60_000;
/** Maximum number of origins; the oldest ones are forgotten first. */
const maxOrigins = 50_000;

type OriginRecord = {
	readonly attemptId: string;
	readonly origin: StreamOrigin;
	/** Monotonic time in milliseconds. */
	readonly addedAt: number;
};

/** Some of the origins that a reader lacks, and what it knows with them. */
export type OriginPart = Required<KnownOrigins> & {
	/** In the order in which they became known here. */
	readonly records: ReadonlyArray<Pick<OriginRecord, 'attemptId' | 'origin'>>;
};

/** Number of characters of attempts from which on no more origins are sent at once. The slowest link carries as many in 25 ms. */
export const partCharacters = 16 * 1024;

/** Holds origins in the order in which they became known here. */
export class OriginTable {
	readonly #clock: Clock;
	readonly #records: OriginRecord[] = [];
	/** Number of origins that were forgotten. */
	#forgotten = 0;
	/** Origins that were told of each attempt. More than one contradict each other. */
	readonly #byAttempt = new Map<string, readonly StreamOrigin[]>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Number of streams of which the origin was told. */
	get size(): number {
		return this.#byAttempt.size;
	}

	/** Number of origins that were ever added, which is the position after the last one. */
	get position(): number {
		return this.#forgotten + this.#records.length;
	}

	/** Adds the origin of the stream that an attempt began. Returns false if it was known. */
	add(attemptId: string, {service, version}: StreamOrigin): boolean {
		const told = this.#byAttempt.get(attemptId) ?? [];
		if (told.length > 1 || told.some(origin => origin.service === service && origin.version === version)) {
			return false;
		}

		this.#forgetOldest();
		const origin = {service, version};
		this.#byAttempt.set(attemptId, [...told, origin]);
		this.#records.push({attemptId, origin, addedAt: this.#clock.now()});
		return true;
	}

	/** Adds what another process knows. Returns whether anything was new. */
	merge(groups: readonly OriginGroup[]): boolean {
		const results = groups.flatMap(({attemptIds, ...origin}) => attemptIds.map(attemptId => this.add(attemptId, origin)));
		return results.includes(true);
	}

	/** Returns the origin of the stream that an attempt began; `undefined` if it isn't known, or if what was told contradicts itself. */
	getOrigin(attemptId: string): StreamOrigin | undefined {
		const told = this.#byAttempt.get(attemptId) ?? [];
		return told.length === 1 ? told[0] : undefined;
	}

	/** Returns the origins from a position on. */
	getSince(position: number): readonly OriginGroup[] {
		return groupOrigins(this.#records.slice(Math.max(0, position - this.#forgotten)));
	}

	/** Returns the newest origins that a reader lacks, as many as are sent at once. Callers take their streams up soon, so the newest ones are needed first. */
	getPart({position, missingBefore = 0}: KnownOrigins): OriginPart {
		const end = this.position;
		const newest = this.#takeBackwards(end, position, partCharacters);
		const isComplete = newest.start <= Math.max(position, this.#forgotten);
		if (!isComplete) {
			return {records: newest.records, position: end, missingBefore: newest.start};
		}

		const older = this.#takeBackwards(missingBefore, 0, partCharacters - newest.characters);
		return {
			records: [...older.records, ...newest.records], position: end, missingBefore: older.start <= this.#forgotten ? 0 : older.start,
		};
	}

	/** Returns the last origins between two positions whose attempts have up to about a number of characters, and the position of the first one. */
	#takeBackwards(end: number, start: number, maxCharacters: number): {start: number; characters: number; records: readonly OriginRecord[]} {
		const first = Math.max(0, start - this.#forgotten);
		const last = Math.max(first, end - this.#forgotten);
		let index = last;
		let characters = 0;
		while (index > first && characters < maxCharacters) {
			index -= 1;
			characters += this.#records[index]!.attemptId.length;
		}

		return {start: index + this.#forgotten, characters, records: this.#records.slice(index, last)};
	}

	#forgetOldest(): void {
		const before = this.#clock.now() - retentionMs;
		const firstKept = this.#records.findIndex(({addedAt}) => addedAt >= before);
		const expired = firstKept === -1 ? this.#records.length : firstKept;
		const count = Math.max(expired, this.#records.length + 1 - maxOrigins);
		for (const {attemptId} of this.#records.splice(0, count)) {
			this.#byAttempt.delete(attemptId);
		}

		this.#forgotten += count;
	}
}

/**
Groups attempts by origin, which is how processes exchange them.

@example
```
const groups = groupOrigins([{attemptId: 'a-1', origin: {service: 's', version: 'v1'}}]);
```
*/
export function groupOrigins(records: ReadonlyArray<Pick<OriginRecord, 'attemptId' | 'origin'>>): readonly OriginGroup[] {
	const groups = new Map<string, {readonly origin: StreamOrigin; readonly attemptIds: string[]}>();
	for (const {attemptId, origin} of records) {
		const key = JSON.stringify([origin.service, origin.version]);
		const group = groups.get(key) ?? {origin, attemptIds: []};
		group.attemptIds.push(attemptId);
		groups.set(key, group);
	}

	return [...groups.values()].map(({origin, attemptIds}) => ({...origin, attemptIds}));
}
