/** Replication progress by replica id. A replica that lost its disk has a new id, so its progress starts at zero. */
import type {Members} from '@mulberrypitch/storage/types';
import {getQuorum} from './replica-elections.js';

/** Tracks match indexes and contact times during one term of a leader. */
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

	recordMatch(replicaId: string, index: number): void {
		this.#matchIndex.set(replicaId, Math.max(index, this.getMatch(replicaId)));
	}

	getMatch(replicaId: string): number {
		return this.#matchIndex.get(replicaId) ?? 0;
	}

	/** Returns the highest index stored by a quorum of the voters. The leader counts with its durable index. */
	getQuorumMatch(members: Members, leaderId: string, durableIndex: number): number {
		return getQuorumValue(members, id => id === leaderId ? durableIndex : this.getMatch(id));
	}

	/** Returns the latest time at which a quorum of the voters followed the leader. */
	getQuorumContact(members: Members, leaderId: string, now: number): number {
		return getQuorumValue(members, id => id === leaderId ? now : this.getContact(id));
	}
}

function getQuorumValue(members: Members, getValue: (replicaId: string) => number): number {
	const values = Object.values(members).map(id => getValue(id)).toSorted((left, right) => right - left);
	return values[getQuorum(Object.keys(members).length) - 1] ?? Number.NEGATIVE_INFINITY;
}
