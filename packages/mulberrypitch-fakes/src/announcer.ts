/** Registers a stand-in back end with the entry hosts. */
import {randomUUID} from 'node:crypto';
import {request} from 'undici';
import {BackgroundTask} from '@mulberrypitch/lifecycle/background';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Resource} from '@mulberrypitch/lifecycle/disposable-store';

const renewalIntervalMs = 1000;
const retryDelayMs = 200;

/** The properties that a stand-in back end announces, and where it announces them. */
export type AnnouncerOptions = {
	readonly id: string;
	readonly address: string;
	readonly zone: string;
	readonly services: readonly string[];
	readonly kind: 'engine' | 'plain';
	/** Version of the software that the back end states; absent if it states none. */
	readonly version?: string;
	/** Number of requests that the back end runs concurrently. */
	readonly slots: number;
	/** Base addresses of entry hosts; a failed announcement is retried with the next one. */
	readonly entries: readonly string[];
	readonly token: string;
	readonly clock: Clock;
};

/** Announces one back end at regular intervals until it is disposed of. */
export class Announcer implements Resource {
	readonly #options: AnnouncerOptions;
	readonly #incarnation = randomUUID();
	readonly #task: BackgroundTask;
	#entryIndex = 0;

	constructor(options: AnnouncerOptions) {
		this.#options = options;
		this.#task = new BackgroundTask(async signal => this.#run(signal), () => {
			// The task itself retries failed announcements.
		});
	}

	/** Announces to one entry host that the back end shuts down in `noticeMs` milliseconds, and retries until a host accepts it. */
	async announceShutdown(noticeMs: number): Promise<void> {
		while (!await this.#announce({leavesInMs: noticeMs})) {
			await this.#options.clock.sleep(retryDelayMs);
		}
	}

	async dispose(): Promise<void> {
		await this.#task.dispose();
	}

	async #run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const isAnnounced = await this.#announce({});
			await this.#options.clock.sleep(isAnnounced ? renewalIntervalMs : retryDelayMs, signal);
		}
	}

	/** Sends one announcement and reports whether the entry host accepted it. */
	async #announce(departure: {leavesInMs?: number}): Promise<boolean> {
		const {entries, token, clock, slots, ...registration} = this.#options;
		const entry = entries[this.#entryIndex % entries.length]!;
		try {
			const response = await request(`${entry}/v1/announce`, {
				method: 'POST',
				headers: {authorization: `Bearer ${token}`, 'content-type': 'application/json'},
				body: JSON.stringify({
					...registration, incarnation: this.#incarnation, capabilities: {slots}, ...departure,
				}),
			});
			await response.body.dump();
			if (response.statusCode === 200) {
				return true;
			}
		} catch {
			// The next attempt uses another entry host, selected below.
		}

		this.#entryIndex += 1;
		return false;
	}
}
