/**
 * Takes the announcements and notices of back ends, and acknowledges a leave only once a quorum of coordinators knows of it, in the replicated log and in
 * their rosters.
 */
import {getQuorum} from '@mulberrypitch/control/replica-elections';
import type {Peer} from '@mulberrypitch/control/types';
import {codes, NotLeaderError} from '@mulberrypitch/errors/catalogue';
import {hasCode} from '@mulberrypitch/errors/coded-error';
import type {Notification} from '@mulberrypitch/lifecycle/background';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {BackendRoster} from '@mulberrypitch/serving/backend-roster';
import type {AnnouncedBackend, BackendDeregistration} from '@mulberrypitch/serving/types';
import type {Incarnation} from '@mulberrypitch/serving/view-messages';
import type {Gossip} from './gossip.js';

/** Dependencies of the registration. */
export type BackendRegistrationOptions = {
	readonly roster: BackendRoster;
	readonly gossip: Gossip;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Notified when the roster changes. */
	readonly changes: Notification;
	/** Returns all other coordinators. */
	readonly getOthers: () => readonly Peer[];
	readonly isInTouch: () => boolean;
	/** Returns the name of the leader, if one is known. */
	readonly getLeader: () => string | undefined;
	/** Resolves once the departure of an incarnation is committed to the replicated log. */
	readonly recordDeparture: (departure: Incarnation) => Promise<void>;
};

/** Handles the calls of back ends at one coordinator. */
export class BackendRegistration {
	readonly #options: BackendRegistrationOptions;

	constructor(options: BackendRegistrationOptions) {
		this.#options = options;
	}

	/**
	Handles an announcement of a back end. One that affects routing is sent to the other coordinators before this resolves.
	Throws `NotLeaderError` or another `CodedError` when the back end is leaving and either no quorum of coordinators could be informed or this
	coordinator has no contact with a leader.
	*/
	async announce(backend: AnnouncedBackend): Promise<void> {
		const {roster, logger, changes, gossip} = this.#options;
		const {id, service, address, isLeaving, startedAt} = backend;
		const wasListed = roster.isListed(backend);
		const isChanged = roster.announce(backend);
		if (isChanged) {
			logger.log(isLeaving ? events.backendLeaving : events.backendRegistered, {backend: id, service, address});
			changes.notify();
		}

		if (isLeaving) {
			await this.#confirmLeave({backend: id, startedAt}, wasListed);
		} else if (isChanged) {
			await gossip.flush();
		}
	}

	/**
	Handles a notice that a back end is leaving, in the same way as an announcement that says so. A notice that names no start holds for all incarnations that
	have started by now, since this coordinator may have heard of none or only of an earlier one.
	*/
	async deregister(notice: BackendDeregistration): Promise<void> {
		const {roster, clock, logger, changes} = this.#options;
		const {id} = notice;
		const startedAt = notice.startedAt ?? clock.wallTime();
		const wasListed = roster.isListed(notice);
		if (roster.deregister(wasListed ? notice : {id, startedAt})) {
			logger.log(events.backendRemoved, {backend: id});
			changes.notify();
		}

		await this.#confirmLeave({backend: id, startedAt}, wasListed);
	}

	/** Marks a back end as leaving whose departure is committed, whichever coordinator took the notice, or before the last restart. */
	applyDeparture(departure: Incarnation): void {
		const {roster, logger, changes} = this.#options;
		if (roster.markDeparted(departure)) {
			logger.log(events.backendLeaving, {backend: departure.backend, isRecorded: true});
			changes.notify();
		}
	}

	/**
	Resolves once the leave is in the replicated log and in the rosters of a quorum of coordinators. All entries with a recent view then stop sending
	requests, whichever coordinator they call, and coordinators that restart know of it. Other ways by which this coordinator may have learned of
	the leave do not show that.
	*/
	async #confirmLeave(leave: Incarnation, wasListed: boolean): Promise<void> {
		const {roster, gossip, getOthers, isInTouch, getLeader, logger} = this.#options;
		if (roster.isLeaveConfirmed(leave)) {
			return;
		}

		const [reachedOthers] = await Promise.all([gossip.flush(), this.#recordDeparture(leave)]);
		if (1 + reachedOthers < getQuorum(getOthers().length + 1) || !isInTouch()) {
			throw new NotLeaderError(getLeader());
		}

		roster.confirmLeave(leave);
		logger.log(events.leaveAcknowledged, {...leave, wasListed});
	}

	async #recordDeparture(leave: Incarnation): Promise<void> {
		try {
			await this.#options.recordDeparture(leave);
		} catch (error) {
			// A leader of an earlier version keeps no departures; refusing the notice until it is upgraded would cost more requests.
			if (!hasCode(error, codes.protocol)) {
				throw error;
			}
		}
	}
}
