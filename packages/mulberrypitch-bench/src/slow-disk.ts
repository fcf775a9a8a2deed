/** A disk with slow syncs, like a network disk. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {NodeDisk} from '@mulberrypitch/storage/node-disk';
import type {DiskFile} from '@mulberrypitch/storage/types';

/** Adds a fixed delay in milliseconds to each sync of a file. */
export class SlowDisk extends NodeDisk {
	readonly #clock: Clock;
	readonly #addedMs: number;

	constructor(clock: Clock, addedMs: number) {
		super();
		this.#clock = clock;
		this.#addedMs = addedMs;
	}

	override async openForAppend(file: string): Promise<DiskFile> {
		const opened = await super.openForAppend(file);
		const sync = async () => {
			await this.#clock.sleep(this.#addedMs);
			await opened.sync();
		};

		return {write: async data => opened.write(data), sync, close: async () => opened.close()};
	}
}
