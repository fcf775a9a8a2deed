/** The sessions of entry hosts. */
import {StaleEpochError} from '@mulberrypitch/errors/catalogue';
import type {CommandOf} from './commands.js';
import {memberKinds, type MembershipFeed} from './membership-feed.js';
import type {Session} from './types.js';

/** The JSON form of the table. */
export type CapturedSessions = {
	readonly sessions: readonly Session[];
	readonly epochs: number;
	/** Incarnations of ended sessions, by host. */
	readonly ended: ReadonlyArray<readonly [string, string]>;
	readonly sites: readonly string[];
};

/** What opening a session gave. */
export type OpenedSession = {
	readonly session: Session;
	/** The session was not open before this command. */
	readonly isNew: boolean;
	/** Another process of the same host had the session before. */
	readonly isRestart: boolean;
};

/** Sessions by host, each with an epoch that grows over all of them. */
export class SessionTable {
	readonly #feed: MembershipFeed;
	readonly #sessions = new Map<string, Session>();
	readonly #ended = new Map<string, string>();
	readonly #sites = new Set<string>();
	#epochs = 0;

	constructor(feed: MembershipFeed) {
		this.#feed = feed;
	}

	/** Sites of all hosts that ever had a session. */
	get sites(): ReadonlySet<string> {
		return this.#sites;
	}

	get(node: string): Session | undefined {
		return this.#sessions.get(node);
	}

	has(node: string): boolean {
		return this.#sessions.has(node);
	}

	list(): readonly Session[] {
		return [...this.#sessions.values()];
	}

	/** Gives the session of an epoch, or throws `StaleEpochError`. */
	require(node: string, epoch: number): Session {
		const session = this.#sessions.get(node);
		if (session?.epoch !== epoch) {
			throw new StaleEpochError(`The session ${epoch} of host ${node} has ended.`);
		}

		return session;
	}

	/** Opens a session, or gives the open one of the same process. */
	open(command: CommandOf<'openSession'>): OpenedSession {
		const known = this.#sessions.get(command.node);
		if (known?.incarnation === command.incarnation) {
			return {session: known, isNew: false, isRestart: false};
		}

		const {kind, ...facts} = command;
		const previous = known?.incarnation ?? this.#ended.get(command.node);
		this.#epochs += 1;
		const session: Session = {...facts, epoch: this.#epochs, isDraining: false};
		this.#ended.delete(command.node);
		this.#sites.add(session.site);
		this.#put(session);
		return {session, isNew: true, isRestart: previous !== undefined && previous !== command.incarnation};
	}

	drain(node: string, epoch: number): void {
		this.#put({...this.require(node, epoch), isDraining: true});
	}

	/** Ends a session; tells whether it was the open one. */
	close(node: string, epoch: number): boolean {
		const session = this.#sessions.get(node);
		if (session?.epoch !== epoch) {
			return false;
		}

		this.#sessions.delete(node);
		this.#ended.set(node, session.incarnation);
		this.#feed.add(memberKinds.session, node);
		return true;
	}

	capture(): CapturedSessions {
		return {
			sessions: this.list(), epochs: this.#epochs, ended: [...this.#ended], sites: [...this.#sites],
		};
	}

	restore(captured: CapturedSessions): void {
		this.#sessions.clear();
		this.#ended.clear();
		this.#sites.clear();
		for (const session of captured.sessions) {
			this.#sessions.set(session.node, session);
		}

		for (const [node, incarnation] of captured.ended) {
			this.#ended.set(node, incarnation);
		}

		for (const site of captured.sites) {
			this.#sites.add(site);
		}

		this.#epochs = captured.epochs;
	}

	#put(session: Session): void {
		this.#sessions.set(session.node, session);
		this.#feed.add(memberKinds.session, session.node);
	}
}
