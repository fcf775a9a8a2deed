/** The list of replicas of a group, which may change at run time. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Members} from '@mulberrypitch/storage/types';
import type {Peer} from './types.js';

/** Settings of the peer directory. */
export type PeerDirectoryOptions = {
	/** Replicas of the initial group. */
	readonly peers: readonly Peer[];
	/** Returns the address of a replica that is not in `peers`. Absent in a group with fixed membership. */
	readonly getAddress?: (name: string) => string;
	readonly clock: Clock;
};

/** Time for which a replica is listed after it asks to join. */
const joinRequestTtlMs = 5000;

/** Lists the initial replicas, the voters and the replicas that ask to join. */
export class PeerDirectory {
	readonly #options: PeerDirectoryOptions;
	/** Time of the last request to join, by replica name. */
	readonly #joinRequestedAt = new Map<string, number>();

	constructor(options: PeerDirectoryOptions) {
		this.#options = options;
	}

	/** Lists a replica that asks to join, for `joinRequestTtlMs`. */
	admit(name: string): void {
		this.#joinRequestedAt.set(name, this.#options.clock.now());
	}

	/** Returns all replicas to call. With dynamic membership, the initial replicas are included only while there are no voters. */
	list(members: Members): readonly Peer[] {
		const {peers, getAddress, clock} = this.#options;
		if (getAddress === undefined) {
			return peers;
		}

		const joining = [...this.#joinRequestedAt].filter(([, askedAt]) => clock.now() - askedAt < joinRequestTtlMs);
		const voters = Object.keys(members);
		const initial = voters.length === 0 ? peers.map(({name}) => name) : [];
		const names = new Set([...voters, ...initial, ...joining.map(([name]) => name)]);
		return [...names].map(name => ({name, address: getAddress(name)}));
	}
}
