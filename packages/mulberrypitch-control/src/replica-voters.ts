/** Decides on the membership changes of a leader: replicas that become voters, and voters that are removed. */
import {assertInvariant} from '@mulberrypitch/errors/catalogue';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Members} from '@mulberrypitch/storage/types';
import type {ReplicaLog} from './replica-log.js';
import type {ReplicaProgress} from './replica-progress.js';

/** Largest number of entries by which a replica may lag behind the commit index and still become a voter. */
const maxVoterLagEntries = 64;
/** Time without a reply after which a voter may be removed from a group with an even number of voters. */
const voterTimeoutMs = 2000;
/** Smallest number of voters in a group from which a voter may be removed. */
const minVotersForRemoval = 4;

/** Dependencies of `VoterChanges`, provided by the leader. */
export type VoterChangesOptions = {
	readonly log: ReplicaLog;
	readonly clock: Clock;
	readonly progress: ReplicaProgress;
	/** Time at which the leader's term began. */
	readonly startedAt: number;
	readonly getCommitIndex: () => number;
	/** Returns the index of the first entry of the term, or infinity until that entry is appended. */
	readonly getTermStartIndex: () => number;
};

/** A membership change. */
export type VoterChange = {
	/** Name of the replica that becomes a voter or is removed. */
	readonly node: string;
	/** The voters after the change. */
	readonly members: Members;
};

/** Finds the membership changes that are allowed and due. */
export class VoterChanges {
	readonly #options: VoterChangesOptions;

	constructor(options: VoterChangesOptions) {
		this.#options = options;
	}

	/** Returns the removal of a voter that has not replied for `voterTimeoutMs` from a group with an even number of voters, if there is one. */
	findRemoval(): VoterChange | undefined {
		const {
			log, clock, progress, startedAt,
		} = this.#options;
		const voters = Object.entries(log.members);
		if (voters.length % 2 === 1 || voters.length < minVotersForRemoval || !this.#isChangeAllowed()) {
			return undefined;
		}

		const silentBefore = clock.now() - voterTimeoutMs;
		const silent = voters.find(([, id]) => id !== log.hardState.replicaId && Math.max(startedAt, progress.getContact(id)) < silentBefore);
		return silent && {node: silent[0], members: getMembersWithout(log.members, silent[0])};
	}

	/**
	Returns the change that makes a replica a voter once it has caught up. An older id under its name is removed first, in a separate
	change.
	*/
	findAddition(name: string, replicaId: string): VoterChange | undefined {
		const {log, progress, getCommitIndex} = this.#options;
		const isDue = log.members[name] !== replicaId
			&& this.#isChangeAllowed()
			&& progress.getMatch(replicaId) + maxVoterLagEntries >= getCommitIndex();
		return isDue ? {node: name, members: getNextMembers(log.members, name, replicaId)} : undefined;
	}

	/** Reports whether the voters may change: no other change is uncommitted, and an entry of this term is committed. */
	#isChangeAllowed(): boolean {
		const {log, getCommitIndex, getTermStartIndex} = this.#options;
		const commitIndex = getCommitIndex();
		return log.membersIndex <= commitIndex && getTermStartIndex() <= commitIndex;
	}
}

function getNextMembers(members: Members, name: string, replicaId: string): Members {
	if (members[name] === undefined) {
		return {...members, [name]: replicaId};
	}

	return getMembersWithout(members, name);
}

function getMembersWithout(members: Members, name: string): Members {
	const remaining = Object.fromEntries(Object.entries(members).filter(([member]) => member !== name));
	assertInvariant(Object.keys(remaining).length > 0, 'The last voter can not be removed.');
	return remaining;
}
