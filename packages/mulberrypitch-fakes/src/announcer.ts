/** Announces a stand-in back end to the entry hosts. */
import {randomUUID} from 'node:crypto';
import {request} from 'undici';
import {BackgroundTask} from '@mulberrypitch/lifecycle/background';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Resource} from '@mulberrypitch/lifecycle/disposable-store';

const intervalMs = 1000;
const retryMs = 200;

/** What a stand-in says of itself. */
export type AnnouncerOptions = {
	readonly id: string;
	readonly address: string;
	readonly zone: string;
	readonly services: readonly string[];
	readonly kind: 'engine' | 'plain';
	readonly slots: number;
	/** Base addresses of entry hosts, tried in turn. */
	readonly entries: readonly string[];
	readonly token: string;
	readonly clock: Clock;
};

/** Renews the announcement of one back end until it is disposed of. */
export class Announcer implements Resource {
	readonly #options: AnnouncerOptions;
	readonly #incarnation = randomUUID();
	readonly #task: BackgroundTask;
	#next = 0;

	constructor(options: AnnouncerOptions) {
		this.#options = options;
		this.#task = new BackgroundTask(async signal => this.#run(signal), () => {
			// Failed announcements are repeated inside the task.
		});
	}

	/** Tells one entry host that the back end leaves. */
	async leave(noticeMs: number): Promise<void> {
		while (!await this.#announce({leavesInMs: noticeMs})) {
			await this.#options.clock.sleep(retryMs);
		}
	}

	async dispose(): Promise<void> {
		await this.#task.dispose();
	}

	async #run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const isHeard = await this.#announce({});
			await this.#options.clock.sleep(isHeard ? intervalMs : retryMs, signal);
		}
	}

	async #announce(extra: {leavesInMs?: number}): Promise<boolean> {
		const {entries, token, clock, slots, ...facts} = this.#options;
		const entry = entries[this.#next % entries.length]!;
		try {
			const response = await request(`${entry}/v1/announce`, {
				method: 'POST',
				headers: {authorization: `Bearer ${token}`, 'content-type': 'application/json'},
				body: JSON.stringify({
					...facts, incarnation: this.#incarnation, capabilities: {slots}, ...extra,
				}),
			});
			await response.body.dump();
			if (response.statusCode === 200) {
				return true;
			}
		} catch {
			// The next entry is tried below.
		}

		this.#next += 1;
		return false;
	}
}
