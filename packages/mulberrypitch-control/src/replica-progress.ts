/** Replication progress by replica id. A replica that lost its disk has a new id, so its progress starts at zero. */
import type {Members} from '@mulberrypitch/storage/types';
import {getQuorum} from './replica-elections.js';

/** Tracks, during one term of a leader, up to which index each replica matches the leader's log and when it last replied. */
export class ReplicaProgress {
	readonly #matchIndex = new Map<string, number>();
	readonly #contactAt = new Map<string, number>();

	clear(): void {
		this.#matchIndex.clear();
		this.#contactAt.clear();
	}

	/** Records that a replica acknowledged a call, with the time at which the call was sent. */
	recordContact(replicaId: string, sentAt: number): void {
		this.#contactAt.set(replicaId, sentAt);
	}

	/** Returns when the last acknowledged call was sent, or negative infinity if there was none. */
	getContact(replicaId: string): number {
		return this.#contactAt.get(replicaId) ?? Number.NEGATIVE_INFINITY;
	}

	/** Records that the log of a replica matches the leader's up to an index. A lower index than before is ignored. */
	recordMatch(replicaId: string, index: number): void {
		this.#matchIndex.set(replicaId, Math.max(index, this.getMatch(replicaId)));
	}

	/** Returns the index up to which the log of a replica matches the leader's, or 0 if it is not known. */
	getMatch(replicaId: string): number {
		return this.#matchIndex.get(replicaId) ?? 0;
	}

	/** Returns the highest index up to which a quorum of the voters has stored the log. The leader counts with its durable index. */
	getQuorumMatch(members: Members, leaderId: string, durableIndex: number): number {
		return getQuorumValue(members, id => id === leaderId ? durableIndex : this.getMatch(id));
	}

	/** Returns the latest time such that a quorum of the voters acknowledged calls sent at that time or later. */
	getQuorumContact(members: Members, leaderId: string, now: number): number {
		return getQuorumValue(members, id => id === leaderId ? now : this.getContact(id));
	}
}

function getQuorumValue(members: Members, getValue: (replicaId: string) => number): number {
	const values = Object.values(members).map(id => getValue(id)).toSorted((left, right) => right - left);
	return values[getQuorum(Object.keys(members).length) - 1] ?? Number.NEGATIVE_INFINITY;
}
