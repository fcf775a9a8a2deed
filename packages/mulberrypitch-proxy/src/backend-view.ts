/** An entry's view of the back ends: those that it knows from the coordinators' roster, and its own state of each. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {updateIncarnation, type RosterChanges, type RosterEntry} from '@mulberrypitch/serving/backend-roster';
import type {AnnouncedBackend} from '@mulberrypitch/serving/types';
import type {
	BackendLoad, Incarnation, LimitShare, StatedLimit,
} from '@mulberrypitch/serving/view-messages';
import {EndedIncarnations} from './ended-incarnations.js';
import {KnownBackend, type KnownBackendOptions} from './known-backend.js';
import {RetiredBackends} from './retired-backends.js';

/** Numbers of back ends and connections of one entry. */
export type BackendCounts = {
	readonly serving: number;
	readonly ejected: number;
	/** Number of serving back ends that state a limit on requests. */
	readonly limited: number;
	/** Number of serving back ends that have asked this entry for a pause. */
	readonly paused: number;
	readonly connections: number;
};

/** What a roster changed in the view: a back end came into use, leaves, ended, stopped its announcements, or is no longer listed. */
export type BackendChange = {
	readonly backend: Incarnation;
	readonly kind: 'taken' | 'leaving' | 'ended' | 'silent' | 'unlisted';
};

/** Reports whether a request may be sent to a back end. `serving` are all serving back ends of its service, the same array for all of one choice. */
export type BackendFilter = (backend: KnownBackend, serving: readonly KnownBackend[]) => boolean;

const noLoad: BackendLoad = {requests: 0, pendingTokens: 0};

/** Adds, updates and retires back ends as the roster changes. */
export class BackendView {
	readonly #create: (announced: AnnouncedBackend) => KnownBackend;
	readonly #backends = new Map<string, KnownBackend>();
	readonly #retired = new RetiredBackends();
	readonly #ended: EndedIncarnations;
	#epoch = '';
	#version = 0;
	/** Whether the last whole roster was not settled, so that back ends that it doesn't list are retired only later. */
	#isPartial = false;
	/** Whether the coordinator of the last roster had been running for long enough to know all back ends. */
	#isSettled = false;

	constructor(clock: Clock, createOptions: (announced: AnnouncedBackend) => KnownBackendOptions) {
		this.#ended = new EndedIncarnations(clock);
		this.#create = announced => new KnownBackend(announced, createOptions(announced));
	}

	/** Epoch of the last applied roster; empty to ask for the whole roster. */
	get epoch(): string {
		return this.#epoch;
	}

	/** Version of the last applied roster within its epoch. */
	get version(): number {
		return this.#version;
	}

	/** Returns the serving back ends of a service that a request may be sent to: those that are not ejected, or all of them when every one is ejected. */
	getCandidates(service: string, isMatching: BackendFilter): readonly KnownBackend[] {
		const ofService = [...this.#backends.values()].filter(backend => backend.announced.service === service && backend.isServing);
		const serving = ofService.filter(backend => isMatching(backend, ofService));
		const healthy = serving.filter(backend => !backend.isEjected);
		return healthy.length > 0 ? healthy : serving;
	}

	/** Returns the numbers of serving back ends, of ejected ones among these, and of connections to all back ends. */
	getCounts(): BackendCounts {
		const all = [...this.#backends.values()];
		const serving = all.filter(({isServing}) => isServing);
		return {
			serving: serving.length,
			ejected: serving.filter(({isEjected}) => isEjected).length,
			limited: serving.filter(({requestsPerSecond}) => requestsPerSecond !== undefined).length,
			paused: serving.filter(({isPaused}) => isPaused).length,
			connections: all.reduce((sum, {connectionCount}) => sum + connectionCount, 0),
		};
	}

	/** Returns the number of this entry's requests at back ends that match, with those that are leaving or were retired. */
	countRequests(isMatching: (backend: KnownBackend) => boolean): number {
		const counted = [...this.#backends.values(), ...this.#retired.list()].filter(backend => isMatching(backend));
		return counted.reduce((sum, {inFlight}) => sum + inFlight, 0);
	}

	/** Returns this entry's load on each back end that has any, by identifier. */
	getLoads(): Readonly<Record<string, BackendLoad>> {
		return Object.fromEntries([...this.#backends.values()].filter(({inFlight}) => inFlight > 0).map(({id, ownLoad}) => [id, ownLoad]));
	}

	/**
	Applies the changes of a roster, and returns what they changed in the view. A whole roster also retires the back ends that it doesn't list, unless it
	is not settled.
	*/
	apply({epoch, version, isWhole, isSettled, entries}: RosterChanges): readonly BackendChange[] {
		const changes = entries.flatMap(entry => this.#applyEntry(entry));

		this.#epoch = epoch;
		this.#version = version;
		this.#isSettled = isSettled;
		if (isWhole && isSettled) {
			changes.push(...this.#retireOthers(new Set(entries.map(({backend}) => backend.id))));
		} else if (isWhole) {
			// A coordinator that has just started doesn't know all back ends yet, so those that it doesn't list are not retired.
			this.#isPartial = true;
		} else if (this.#isPartial && isSettled) {
			// Makes the next view request ask for the whole roster, so that back ends that it doesn't list are retired.
			this.#epoch = '';
			this.#isPartial = false;
		}

		return changes;
	}

	/** Sets the load that the other entries put on each back end, by identifier. */
	setLoads(loads: Readonly<Record<string, BackendLoad>>): void {
		for (const backend of this.#backends.values()) {
			backend.setOtherLoad(loads[backend.id] ?? noLoad);
		}
	}

	/** Returns the incarnations that leave, so that coordinators that have restarted learn of it again. */
	getLeaves(): readonly Incarnation[] {
		return [...this.#backends.values()]
			.filter(({isLeaving}) => isLeaving)
			.map(({id, announced}) => ({backend: id, startedAt: announced.startedAt}));
	}

	/** Reports whether none of a service may be sent a request, as told by a coordinator that has heard of all back ends. */
	isWithoutBackends(service: string, isMatching: BackendFilter): boolean {
		return this.#isSettled && this.getCandidates(service, isMatching).length === 0;
	}

	/** Returns the limits that back ends stated to this entry. */
	getStatedLimits(): readonly StatedLimit[] {
		return [...this.#backends.values()].map(({ownLimit}) => ownLimit).filter(limit => limit !== undefined);
	}

	/** Applies the limits that back ends stated to any entry, and this entry's part of each. */
	applyLimitShares(shares: readonly LimitShare[]): void {
		const byBackend = new Map(shares.map(share => [share.backend, share]));
		for (const backend of this.#backends.values()) {
			backend.applyLimitShare(byBackend.get(backend.id));
		}
	}

	/**
	Returns the time in milliseconds until the first back end of a service accepts a request that may be sent to it, by what the back ends have
	stated; zero if one does now or none is known, infinite if this entry has no part of what they accept.
	*/
	getStatedWaitMs(service: string, isMatching: BackendFilter): number {
		const waits = this.getCandidates(service, isMatching).map(({statedWaitMs}) => statedWaitMs);
		return waits.length === 0 ? 0 : Math.min(...waits);
	}

	/** Whether any back end owes this entry a response. */
	get hasRequests(): boolean {
		return [...this.#backends.values()].some(({inFlight}) => inFlight > 0);
	}

	/** Reports whether, of any service, at least a part of the slots of its back ends is in use, or a back end has stated what it accepts. */
	isAnyBusy(share: number): boolean {
		const used = new Map<string, {load: number; slots: number}>();
		for (const backend of this.#backends.values()) {
			if (backend.requestsPerSecond !== undefined || backend.isPaused) {
				return true;
			}

			if (backend.isServing) {
				const {service} = backend.announced;
				const {load, slots} = used.get(service) ?? {load: 0, slots: 0};
				used.set(service, {load: load + backend.load, slots: slots + backend.slots});
			}
		}

		return [...used.values()].some(({load, slots}) => load >= share * slots);
	}

	/** Returns the serving back ends. */
	listServing(): readonly AnnouncedBackend[] {
		return [...this.#backends.values()].filter(({isServing}) => isServing).map(({announced}) => announced);
	}

	/** Opens a connection to a back end and keeps it for a request. Does nothing if the back end is no longer known; rejects if it can't be reached. */
	async probe(id: string): Promise<void> {
		await this.#backends.get(id)?.probe();
	}

	/** Closes connections that have exceeded their idle time. */
	closeIdle(): void {
		for (const backend of this.#backends.values()) {
			backend.closeIdle();
		}
	}

	#applyEntry({backend: announced, isGone, isSilent}: RosterEntry): readonly BackendChange[] {
		const {id, startedAt} = announced;
		const known = this.#backends.get(id);
		if (known !== undefined && known.announced.startedAt > startedAt) {
			return [];
		}

		const backend = {backend: id, startedAt};
		if (isGone) {
			if (isSilent === false) {
				this.#ended.add(backend);
			}

			return this.#retire(id) ? [{backend, kind: isSilent === true ? 'silent' : 'ended'}] : [];
		}

		if (known?.announced.startedAt === startedAt && known.announced.address === announced.address) {
			const wasLeaving = known.isLeaving;
			known.update(updateIncarnation(known.announced, announced));
			return known.isLeaving && !wasLeaving ? [{backend, kind: 'leaving'}] : [];
		}

		this.#retire(id);
		const taken = this.#create({...announced, isLeaving: announced.isLeaving || this.#hasLeft(announced)});
		this.#backends.set(id, taken);
		return [{backend, kind: taken.isLeaving ? 'leaving' : 'taken'}];
	}

	/** Reports whether an incarnation may not return to service, whatever a roster says. */
	#hasLeft(announced: AnnouncedBackend): boolean {
		return this.#retired.hasLeft(announced) || this.#ended.has({backend: announced.id, startedAt: announced.startedAt});
	}

	#retireOthers(listed: ReadonlySet<string>): readonly BackendChange[] {
		const unlisted = [...this.#backends.values()].filter(({id}) => !listed.has(id));
		for (const {id} of unlisted) {
			this.#retire(id);
		}

		return unlisted.map(({id, announced}) => ({backend: {backend: id, startedAt: announced.startedAt}, kind: 'unlisted'}));
	}

	/** Retires a back end. Returns whether it was in the view. */
	#retire(id: string): boolean {
		const backend = this.#backends.get(id);
		if (backend === undefined) {
			return false;
		}

		backend.retire();
		this.#backends.delete(id);
		this.#retired.add(backend);
		return true;
	}
}
