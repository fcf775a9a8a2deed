/** Replicates one request to a second host: chooses the standby, sends it new chunks, and replaces it when it is lost. */
import {CodedError, hasCode} from '@mulberrypitch/errors/coded-error';
import {
	assertInvariant, codes, PeerUnreachableError,
} from '@mulberrypitch/errors/catalogue';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {ControlClient} from '@mulberrypitch/control/control-client';
import type {Session} from '@mulberrypitch/control/types';
import type {Transport} from '@mulberrypitch/transport/types';
import type {AnswerLog} from './answer-log.js';
import type {Progress, ProgressReply} from './messages.js';
import {standbyMethods} from './request-standby.js';
import {TimeoutSignal} from './timeout-signal.js';
import type {HeldCopy} from './types.js';

/** Timeout of the call that sends a copy to a standby, in milliseconds. */
const holdTimeoutMs = 1000;
/** Timeout of calls that send new chunks or the release of a copy, in milliseconds. */
const progressTimeoutMs = 1000;
/** Interval at which a link checks whether its standby still has a session, in milliseconds. */
const checkIntervalMs = 500;
const retryDelayMs = 200;
/** Maximum number of hosts to which a copy is offered. */
const maxStandbyAttempts = 3;

/** Dependencies that the standby links of one host share. */
export type StandbyLinkContext = {
	readonly node: string;
	readonly zone: string;
	readonly control: ControlClient;
	readonly transport: Transport;
	readonly clock: Clock;
};

/** The request that a link replicates. */
export type LinkedRequest = {
	readonly copy: HeldCopy;
	/** The answer, whose new chunks are sent to the standby and confirmed when the standby has stored them. */
	readonly answer: AnswerLog;
	/** Session of the host that already has a copy. */
	readonly standby?: Session;
};

/**
Returns the sessions of the hosts that may store a copy of a request, those in other zones first. Draining hosts are left out, and the order
depends on the request so that copies spread over the hosts.

@example
```
const [best] = listStandbys(context, requestId);
```
*/
export function listStandbys({control, node, zone}: StandbyLinkContext, requestId: string): readonly Session[] {
	const others = control.sessions.filter(session => session.node !== node && !session.isDraining);
	const rotation = Number.parseInt(requestId.slice(0, 8), 16);
	return others
		.map((session, index) => ({session, order: ((index + rotation) % others.length) + (session.zone === zone ? others.length : 0)}))
		.toSorted((left, right) => left.order - right.order)
		.map(({session}) => session);
}

/**
Sends a copy of a request to the first host that accepts it, and returns that host's session. Returns `undefined` when there is
no other host. Throws `PeerUnreachableError` when no host accepted the copy.

@example
```
const standby = await copyToStandby(context, copy);
```
*/
export async function copyToStandby(context: StandbyLinkContext, copy: HeldCopy): Promise<Session | undefined> {
	const candidates = listStandbys(context, copy.requestId);
	for (const session of candidates.slice(0, maxStandbyAttempts)) {
		try {
			await context.transport.call(session.peerAddress, standbyMethods.hold, copy, {timeoutMs: holdTimeoutMs});
			return session;
		} catch (error) {
			if (!(error instanceof CodedError) || error.code === codes.staleEpoch) {
				throw error;
			}
		}
	}

	if (candidates.length > 0) {
		throw new PeerUnreachableError(candidates[0]!.peerAddress);
	}

	return undefined;
}

/**
Replicates one request to its standby while the request runs.

@example
```
const link = new StandbyLink(context, {copy, answer, standby});
await link.run(signal);
```
*/
export class StandbyLink {
	readonly #context: StandbyLinkContext;
	readonly #request: LinkedRequest;
	#standby: Session | undefined;

	constructor(context: StandbyLinkContext, request: LinkedRequest) {
		this.#context = context;
		this.#request = request;
		this.#standby = request.standby;
	}

	/** The session of the host that stores the copy, or `undefined` while there is none. */
	get standby(): Session | undefined {
		return this.#standby;
	}

	/** Replicates until the signal aborts. Throws `StaleEpochError` when another host holds the request. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			try {
				await this.#step(signal);
			} catch (error) {
				if (!(error instanceof CodedError) || error.code === codes.staleEpoch || error.code === codes.invariant) {
					throw error;
				}

				if (error.code !== codes.conflict) {
					this.#standby = undefined;
				}

				await this.#context.clock.sleep(retryDelayMs, signal);
			}
		}
	}

	/** Informs the standby that the request has ended, so that it can remove its copy. */
	async release(): Promise<void> {
		await this.#release(this.#standby);
	}

	/** Replaces a lost standby, sends new chunks, or waits for them. Without another host, chunks are confirmed without a copy. */
	async #step(signal: AbortSignal): Promise<void> {
		const {answer, copy} = this.#request;
		if (!this.#hasLiveStandby()) {
			if (listStandbys(this.#context, copy.requestId).length > 0) {
				await this.#replaceStandby();
				return;
			}

			answer.confirm(answer.length);
		}

		if (this.#standby !== undefined && answer.length > answer.confirmed) {
			await this.#pushProgress(this.#standby);
			return;
		}

		await this.#waitForChunks(signal);
	}

	async #waitForChunks(signal: AbortSignal): Promise<void> {
		const {answer} = this.#request;
		const timeout = new TimeoutSignal(this.#context.clock, checkIntervalMs, signal);
		await (answer.isAbandoned || answer.outcome !== undefined ? this.#context.clock.sleep(checkIntervalMs, signal) : answer.waitAppended(answer.confirmed, timeout.signal));

		timeout.cancel();
	}

	#hasLiveStandby(): boolean {
		const standby = this.#standby;
		return this.#context.control.sessions.some(session => session.node === standby?.node && session.epoch === standby.epoch && !session.isDraining);
	}

	/** Sends the whole copy to another host and commits that host as the standby. */
	async #replaceStandby(): Promise<void> {
		const {copy, answer} = this.#request;
		const previousStandby = this.#standby;
		const chunks = answer.getChunks();
		const standby = await copyToStandby(this.#context, {...copy, chunks, version: answer.origin?.version});
		if (standby === undefined) {
			return;
		}

		await this.#context.control.propose({
			kind: 'changeStandby', requestId: copy.requestId, epoch: copy.epoch, standby: standby.node,
		});
		this.#standby = standby;
		answer.confirm(chunks.length);
		if (previousStandby !== undefined && previousStandby.node !== standby.node) {
			await this.#release(previousStandby);
		}
	}

	async #pushProgress(standby: Session): Promise<void> {
		const {copy, answer} = this.#request;
		const progress: Progress = {
			requestId: copy.requestId, epoch: copy.epoch, chunks: [...answer.getChunks(answer.confirmed)], version: answer.origin?.version,
		};
		const {length} = await this.#context.transport.call<ProgressReply>(standby.peerAddress, standbyMethods.progress, progress, {timeoutMs: progressTimeoutMs});
		assertInvariant(length <= answer.length, `Standby ${standby.node} has more chunks than its holder.`);
		answer.confirm(length);
	}

	async #release(standby: Session | undefined): Promise<void> {
		if (standby === undefined) {
			return;
		}

		try {
			await this.#context.transport.call(standby.peerAddress, standbyMethods.release, {requestId: this.#request.copy.requestId}, {timeoutMs: progressTimeoutMs});
		} catch (error) {
			// The standby removes an unreleased copy some time after the deadline of its request.
			if (hasCode(error, codes.invariant)) {
				throw error;
			}
		}
	}
}
