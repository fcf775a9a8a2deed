/** Calls from one replica to the others of its group. */
import {CodedError} from '@mulberrypitch/errors/coded-error';
import {TimeoutError} from '@mulberrypitch/errors/catalogue';
import type {Transport} from '@mulberrypitch/transport/types';
import type {
	AppendReply, AppendRequest, IdentityReply, RecordsReply, SnapshotReply, SnapshotRequest, VoteReply, VoteRequest,
} from './messages.js';
import {callTimeoutMs} from './replica-timing.js';
import type {Peer} from './types.js';

/** Sends the calls of one replica. A call that fails or times out has no reply: the result is `undefined`. */
export class ReplicaCalls {
	readonly #group: string;
	readonly #transport: Transport;

	constructor(group: string, transport: Transport) {
		this.#group = group;
		this.#transport = transport;
	}

	async askIdentity(peer: Peer): Promise<IdentityReply | undefined> {
		return this.#call(peer, 'identity', {group: this.#group});
	}

	async askForVote(peer: Peer, request: VoteRequest): Promise<VoteReply | undefined> {
		return this.#call(peer, 'vote', request);
	}

	async append(peer: Peer, request: AppendRequest): Promise<AppendReply | undefined> {
		return this.#call(peer, 'append', request);
	}

	async sendSnapshot(peer: Peer, request: SnapshotRequest): Promise<SnapshotReply | undefined> {
		return this.#call(peer, 'snapshot', request);
	}

	/** Returns audit records of the leader from a sequence number on. Throws `TimeoutError` if it is not known or does not reply. */
	async readRecords(leader: Peer | undefined, from: number): Promise<RecordsReply['records']> {
		const reply = leader === undefined ? undefined : await this.#call<RecordsReply>(leader, 'records', {group: this.#group, from});
		if (reply === undefined) {
			throw new TimeoutError('The leader', callTimeoutMs);
		}

		return reply.records;
	}

	async #call<Reply>(peer: Peer, method: string, parameters: unknown): Promise<Reply | undefined> {
		try {
			return await this.#transport.call<Reply>(peer.address, `${this.#group}.${method}`, parameters, {timeoutMs: callTimeoutMs});
		} catch (error) {
			if (error instanceof CodedError) {
				return undefined;
			}

			throw error;
		}
	}
}
