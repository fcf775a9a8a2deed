/** The sessions of entry hosts. */
import {StaleEpochError} from '@mulberrypitch/errors/catalogue';
import type {CommandOf} from './commands.js';
import {memberKinds, type MembershipFeed} from './membership-feed.js';
import type {Session} from './types.js';

/** The session table as JSON. */
export type CapturedSessions = {
	readonly sessions: readonly Session[];
	/** Epoch of the session that was opened last. */
	readonly epochs: number;
	/** Incarnations of ended sessions, by host. */
	readonly ended: ReadonlyArray<readonly [string, string]>;
	readonly sites: readonly string[];
};

/** Result of opening a session. */
export type OpenedSession = {
	readonly session: Session;
	/** Whether this command opened the session. */
	readonly isNew: boolean;
	/** Whether the previous session of the host belonged to another process. */
	readonly isRestart: boolean;
};

/** Stores the open sessions by host. Each new session gets a higher epoch than all sessions before it. */
export class SessionTable {
	readonly #feed: MembershipFeed;
	readonly #sessions = new Map<string, Session>();
	/** Incarnation of the last ended session, by host without an open session. */
	readonly #endedIncarnations = new Map<string, string>();
	readonly #sites = new Set<string>();
	#lastEpoch = 0;

	constructor(feed: MembershipFeed) {
		this.#feed = feed;
	}

	/** Sites of all hosts that have ever had a session. */
	get sites(): ReadonlySet<string> {
		return this.#sites;
	}

	/** Returns the open session of a host, or undefined. */
	get(node: string): Session | undefined {
		return this.#sessions.get(node);
	}

	has(node: string): boolean {
		return this.#sessions.has(node);
	}

	list(): readonly Session[] {
		return [...this.#sessions.values()];
	}

	/** Returns the open session of a host. Throws `StaleEpochError` if it has another epoch or there is none. */
	require(node: string, epoch: number): Session {
		const session = this.#sessions.get(node);
		if (session?.epoch !== epoch) {
			throw new StaleEpochError(`The session ${epoch} of host ${node} has ended.`);
		}

		return session;
	}

	/** Opens a session, or returns the open session of the same process. */
	open(command: CommandOf<'openSession'>): OpenedSession {
		const current = this.#sessions.get(command.node);
		if (current?.incarnation === command.incarnation) {
			return {session: current, isNew: false, isRestart: false};
		}

		const {kind, ...facts} = command;
		const previous = current?.incarnation ?? this.#endedIncarnations.get(command.node);
		this.#lastEpoch += 1;
		const session: Session = {...facts, epoch: this.#lastEpoch, isDraining: false};
		this.#endedIncarnations.delete(command.node);
		this.#sites.add(session.site);
		this.#put(session);
		return {session, isNew: true, isRestart: previous !== undefined && previous !== command.incarnation};
	}

	/** Marks a session as draining. Throws `StaleEpochError` if it has ended. */
	drain(node: string, epoch: number): void {
		this.#put({...this.require(node, epoch), isDraining: true});
	}

	/** Ends a session and reports whether it was open. */
	close(node: string, epoch: number): boolean {
		const session = this.#sessions.get(node);
		if (session?.epoch !== epoch) {
			return false;
		}

		this.#sessions.delete(node);
		this.#endedIncarnations.set(node, session.incarnation);
		this.#feed.add(memberKinds.session, node);
		return true;
	}

	capture(): CapturedSessions {
		return {
			sessions: this.list(), epochs: this.#lastEpoch, ended: [...this.#endedIncarnations], sites: [...this.#sites],
		};
	}

	/** Replaces the table by that of a snapshot. */
	restore(captured: CapturedSessions): void {
		this.#sessions.clear();
		this.#endedIncarnations.clear();
		this.#sites.clear();
		for (const session of captured.sessions) {
			this.#sessions.set(session.node, session);
		}

		for (const [node, incarnation] of captured.ended) {
			this.#endedIncarnations.set(node, incarnation);
		}

		for (const site of captured.sites) {
			this.#sites.add(site);
		}

		this.#lastEpoch = captured.epochs;
	}

	#put(session: Session): void {
		this.#sessions.set(session.node, session);
		this.#feed.add(memberKinds.session, session.node);
	}
}
