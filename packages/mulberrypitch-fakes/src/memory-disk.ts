/** A disk in memory that forgets what was not synced when its machine loses power, and that can be made to fail. */
import {Buffer} from 'node:buffer';
import path from 'node:path';
import {StorageError} from '@mulberrypitch/errors/catalogue';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Random} from '@mulberrypitch/lifecycle/random';
import type {Disk, DiskFile} from '@mulberrypitch/storage/types';

type Content = {
	data: Uint8Array;
	syncedBytes: number;
};

/** Faults that last until they are changed. */
export type DiskFaults = {
	isFull: boolean;
	isSyncFailing: boolean;
	syncDelayMs: number;
};

/** The medium; each process that runs on it opens it anew. */
export class MemoryDisk {
	readonly faults: DiskFaults = {isFull: false, isSyncFailing: false, syncDelayMs: 0};
	readonly clock: Clock;
	readonly random: Random;
	/** Files as programs see them. */
	files = new Map<string, Content>();
	/** Files whose names a sync of their folder made durable. */
	durableFiles = new Map<string, Content>();
	/** Operations that change the disk, counted since it was made. */
	operations = 0;
	/** Operation in the middle of which the machine loses power. */
	crashAtOperation = Number.POSITIVE_INFINITY;
	#session: symbol | undefined;

	constructor(clock: Clock, random: Random) {
		this.clock = clock;
		this.random = random;
	}

	/** Opens the disk for a new process; operations of an earlier one fail from now on. */
	open(): Disk {
		const session = Symbol('session');
		this.#session = session;
		return new MemoryDiskSession(this, () => this.#session === session);
	}

	/** Loses power: unsynced bytes and names are kept, torn or lost at random. */
	crash(): void {
		this.#session = undefined;
		const names = new Set([...this.files.keys(), ...this.durableFiles.keys()]);
		const kept = new Map<string, Content>();
		for (const name of names) {
			const source = this.random.next() < 0.5 ? this.files : this.durableFiles;
			const content = source.get(name);
			if (content !== undefined) {
				this.#tear(content);
				kept.set(name, content);
			}
		}

		this.files = kept;
		this.durableFiles = new Map(kept);
	}

	/** Counts one operation and tells whether the machine loses power in it. */
	beginOperation(): boolean {
		this.operations += 1;
		return this.operations >= this.crashAtOperation;
	}

	#tear(content: Content): void {
		const unsynced = content.data.length - content.syncedBytes;
		const length = content.syncedBytes + Math.floor(this.random.next() * (unsynced + 1));
		content.data = content.data.slice(0, length);
		content.syncedBytes = length;
	}
}

/** The disk as one process uses it. */
class MemoryDiskSession implements Disk {
	readonly #disk: MemoryDisk;
	readonly #isCurrent: () => boolean;

	constructor(disk: MemoryDisk, isCurrent: () => boolean) {
		this.#disk = disk;
		this.#isCurrent = isCurrent;
	}

	async makeFolder(): Promise<void> {
		this.#requireCurrent();
	}

	async list(folder: string): Promise<readonly string[]> {
		this.#requireCurrent();
		return [...this.#disk.files.keys()]
			.filter(file => path.dirname(file) === folder)
			.map(file => path.basename(file))
			.toSorted();
	}

	async read(file: string): Promise<Uint8Array | undefined> {
		this.#requireCurrent();
		return this.#disk.files.get(file)?.data;
	}

	async openForAppend(file: string): Promise<DiskFile> {
		this.#change(() => {
			if (!this.#disk.files.has(file)) {
				this.#disk.files.set(file, {data: new Uint8Array(), syncedBytes: 0});
			}
		});
		const content = this.#disk.files.get(file)!;
		return {
			write: async data => {
				this.#requireSpace();
				this.#change(() => {
					content.data = Buffer.concat([content.data, data]);
				});
			},
			sync: async () => this.#sync(() => {
				content.syncedBytes = content.data.length;
			}),
			async close() {
				// Closing makes nothing durable.
			},
		};
	}

	async truncate(file: string, lengthBytes: number): Promise<void> {
		await this.#sync(() => {
			const content = this.#disk.files.get(file)!;
			content.data = content.data.slice(0, lengthBytes);
			content.syncedBytes = lengthBytes;
		});
	}

	async rename(from: string, to: string): Promise<void> {
		this.#change(() => {
			this.#disk.files.set(to, this.#disk.files.get(from)!);
			this.#disk.files.delete(from);
		});
	}

	async remove(file: string): Promise<void> {
		this.#change(() => {
			this.#disk.files.delete(file);
		});
	}

	async syncFolder(folder: string): Promise<void> {
		await this.#sync(() => {
			const isElsewhere = ([file]: [string, Content]) => path.dirname(file) !== folder;
			const isHere = ([file]: [string, Content]) => path.dirname(file) === folder;
			this.#disk.durableFiles = new Map([...[...this.#disk.durableFiles].filter(entry => isElsewhere(entry)), ...[...this.#disk.files].filter(entry => isHere(entry))]);
		});
	}

	async #sync(apply: () => void): Promise<void> {
		const {faults, clock} = this.#disk;
		if (faults.syncDelayMs > 0) {
			await clock.sleep(faults.syncDelayMs);
		}

		if (faults.isSyncFailing) {
			throw new StorageError('The disk does not sync.');
		}

		this.#change(apply);
	}

	/** Makes one change; the power may go just before or just after it. */
	#change(apply: () => void): void {
		this.#requireCurrent();
		const isLastOperation = this.#disk.beginOperation();
		if (isLastOperation && this.#disk.random.next() < 0.5) {
			this.#disk.crash();
		}

		this.#requireCurrent();
		apply();
		if (isLastOperation) {
			this.#disk.crash();
		}

		this.#requireCurrent();
	}

	#requireSpace(): void {
		if (this.#disk.faults.isFull) {
			throw new StorageError('The disk is full.');
		}
	}

	#requireCurrent(): void {
		if (!this.#isCurrent()) {
			throw new StorageError('The machine has lost power.');
		}
	}
}
