/** Takes the announcements and notices of back ends, and acknowledges a leave only once a quorum of coordinators knows of it. */
import {getQuorum} from '@mulberrypitch/control/replica-elections';
import type {Peer} from '@mulberrypitch/control/types';
import {NotFoundError, NotLeaderError} from '@mulberrypitch/errors/catalogue';
import type {Notification} from '@mulberrypitch/lifecycle/background';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {BackendRoster} from '@mulberrypitch/serving/backend-roster';
import type {AnnouncedBackend, BackendDeregistration} from '@mulberrypitch/serving/types';
import type {Gossip} from './gossip.js';

/** Dependencies of the registration. */
export type BackendRegistrationOptions = {
	readonly roster: BackendRoster;
	readonly gossip: Gossip;
	readonly logger: Logger;
	/** Notified when the roster changes. */
	readonly changes: Notification;
	/** Returns all other coordinators. */
	readonly getOthers: () => readonly Peer[];
	readonly isInTouch: () => boolean;
	/** Returns the name of the leader, if one is known. */
	readonly getLeader: () => string | undefined;
};

/** Handles the calls of back ends at one coordinator. */
export class BackendRegistration {
	readonly #options: BackendRegistrationOptions;

	constructor(options: BackendRegistrationOptions) {
		this.#options = options;
	}

	/**
	Handles an announcement of a back end. One that affects routing is sent to the other coordinators before this resolves.
	Throws `NotLeaderError` when the back end is leaving and either no quorum of coordinators could be informed or this
	coordinator has no contact with a leader.
	*/
	async announce(backend: AnnouncedBackend): Promise<void> {
		const {roster, logger, changes, gossip} = this.#options;
		const {id, service, address, isLeaving} = backend;
		const wasListed = roster.isListed(backend);
		const isChanged = roster.announce(backend);
		if (isChanged) {
			logger.log(isLeaving ? events.backendLeaving : events.backendRegistered, {backend: id, service, address});
			changes.notify();
		}

		if (isLeaving) {
			await this.#confirmLeave(backend, wasListed);
		} else if (isChanged) {
			await gossip.flush();
		}
	}

	/**
	Handles a notice that a back end is leaving, in the same way as an announcement that says so. Throws `NotFoundError` when the notice
	names no start and this coordinator has not heard of the back end: it can't tell the others which incarnation leaves.
	*/
	async deregister(leave: BackendDeregistration): Promise<void> {
		const {roster, logger, changes} = this.#options;
		const wasListed = roster.isListed(leave);
		if (!wasListed && leave.startedAt === undefined) {
			throw new NotFoundError(`Back end ${leave.id} is not known here, and its notice names no start.`, 'Send the notice to another coordinator.');
		}

		if (roster.deregister(leave)) {
			logger.log(events.backendRemoved, {backend: leave.id});
			changes.notify();
		}

		await this.#confirmLeave(leave, wasListed);
	}

	/**
	Resolves once a quorum of coordinators knows of a leave, so that all entries with a recent view stop sending requests, whichever coordinator
	they call. Other ways by which this coordinator may have learned of the leave do not show that.
	*/
	async #confirmLeave(leave: BackendDeregistration, wasListed: boolean): Promise<void> {
		const {roster, gossip, getOthers, isInTouch, getLeader, logger} = this.#options;
		if (roster.isLeaveConfirmed(leave)) {
			return;
		}

		const reachedCount = 1 + await gossip.flush();
		if (reachedCount < getQuorum(getOthers().length + 1) || !isInTouch()) {
			throw new NotLeaderError(getLeader());
		}

		roster.confirmLeave(leave);
		logger.log(events.leaveAcknowledged, {backend: leave.id, startedAt: leave.startedAt, wasListed});
	}
}
