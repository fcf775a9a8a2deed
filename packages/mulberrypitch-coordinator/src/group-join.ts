/** Asks the other coordinators to admit one that is not a voter in contact with a leader. */
import type {Peer} from '@mulberrypitch/control/types';
import {getMessage} from '@mulberrypitch/errors/coded-error';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import {methods} from '@mulberrypitch/serving/view-messages';
import type {Transport} from '@mulberrypitch/transport/types';

/** Dependencies of a coordinator that joins the group. */
export type GroupJoinOptions = {
	/** Name of this coordinator. */
	readonly name: string;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly transport: Transport;
	/** Returns the address of a coordinator for calls between processes. */
	readonly getAddress: (name: string) => string;
	/** Returns the names of the coordinators in the current settings. */
	readonly getSeeds: () => readonly string[];
	/** Returns all other coordinators that this one knows. */
	readonly getOthers: () => readonly Peer[];
	/** Reports whether this coordinator has to ask. */
	readonly isNeeded: () => boolean;
};

const intervalMs = 300;
const callTimeoutMs = 900;

/**
Asks all other coordinators at an interval, for as long as it is needed and until the signal aborts.

@example
```
await runJoin({...options, isNeeded: () => !replica.isVoter, getOthers}, signal);
```
*/
export async function runJoin(options: GroupJoinOptions, signal: AbortSignal): Promise<void> {
	const {name, getSeeds, getOthers, clock, isNeeded} = options;
	while (!signal.aborted) {
		await clock.sleep(intervalMs, signal);
		if (!signal.aborted && isNeeded()) {
			const candidates = new Set([...getSeeds(), ...getOthers().map(peer => peer.name)]);
			candidates.delete(name);
			await Promise.all([...candidates].map(async other => requestJoin(other, options)));
		}
	}
}

/** Asks one coordinator, and the leader that it names. */
async function requestJoin(other: string, {name, transport, getAddress, logger}: GroupJoinOptions): Promise<void> {
	try {
		const {leader} = await transport.call<{readonly leader?: string}>(getAddress(other), methods.join, {name}, {timeoutMs: callTimeoutMs});
		if (leader !== undefined && leader !== other && leader !== name) {
			await transport.call(getAddress(leader), methods.join, {name}, {timeoutMs: callTimeoutMs});
		}
	} catch (error) {
		logger.log(events.joinRefused, {peer: other, reason: getMessage(error)});
	}
}
