/** An in-memory disk that loses unsynced data when its machine loses power. It can also inject faults. */
import {Buffer} from 'node:buffer';
import path from 'node:path';
import {StorageError} from '@mulberrypitch/errors/catalogue';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Random} from '@mulberrypitch/lifecycle/random';
import type {Disk, DiskFile} from '@mulberrypitch/storage/types';

/** The bytes of a file, of which the first `syncedBytes` survive a power loss. */
type FileContent = {
	data: Uint8Array;
	syncedBytes: number;
};

/** Injected faults, in effect until they are changed. */
export type DiskFaults = {
	isFull: boolean;
	isSyncFailing: boolean;
	syncDelayMs: number;
};

/** The storage medium, which outlives the processes that use it. Each process opens it with `open`. */
export class MemoryDisk {
	readonly faults: DiskFaults = {isFull: false, isSyncFailing: false, syncDelayMs: 0};
	readonly clock: Clock;
	readonly random: Random;
	/** Files as processes see them, by path. */
	files = new Map<string, FileContent>();
	/** Files whose directory entries are durable since the last sync of their folder, by path. */
	durableFiles = new Map<string, FileContent>();
	/** Number of operations that change the disk, syncs included, since it was created. */
	operations = 0;
	/** Number of the operation during which the machine loses power. */
	crashAtOperation = Number.POSITIVE_INFINITY;
	#session: symbol | undefined;

	constructor(clock: Clock, random: Random) {
		this.clock = clock;
		this.random = random;
	}

	/** Opens the disk for a new process. Operations of the process before it fail from now on. */
	open(): Disk {
		const session = Symbol('session');
		this.#session = session;
		return new MemoryDiskSession(this, () => this.#session === session);
	}

	/** Simulates a power loss: unsynced data and directory entries survive, are truncated or are lost at random. */
	crash(): void {
		this.#session = undefined;
		const names = new Set([...this.files.keys(), ...this.durableFiles.keys()]);
		const survivors = new Map<string, FileContent>();
		for (const name of names) {
			const source = this.random.next() < 0.5 ? this.files : this.durableFiles;
			const content = source.get(name);
			if (content !== undefined) {
				this.#loseUnsyncedBytes(content);
				survivors.set(name, content);
			}
		}

		this.files = survivors;
		this.durableFiles = new Map(survivors);
	}

	/** Counts one operation and reports whether the machine loses power during it. */
	beginOperation(): boolean {
		this.operations += 1;
		return this.operations >= this.crashAtOperation;
	}

	/** Truncates a file at a random point of its unsynced bytes, which simulates a torn write. */
	#loseUnsyncedBytes(content: FileContent): void {
		const unsynced = content.data.length - content.syncedBytes;
		const length = content.syncedBytes + Math.floor(this.random.next() * (unsynced + 1));
		content.data = content.data.slice(0, length);
		content.syncedBytes = length;
	}
}

/** A process's access to the disk. It fails once the machine has lost power or a later process has opened the disk. */
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
				// Closing a file does not sync it.
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
			const isInOtherFolder = ([file]: [string, FileContent]) => path.dirname(file) !== folder;
			const isInFolder = ([file]: [string, FileContent]) => path.dirname(file) === folder;
			this.#disk.durableFiles = new Map([...[...this.#disk.durableFiles].filter(entry => isInOtherFolder(entry)), ...[...this.#disk.files].filter(entry => isInFolder(entry))]);
		});
	}

	async #sync(apply: () => void): Promise<void> {
		const {faults, clock} = this.#disk;
		if (faults.syncDelayMs > 0) {
			await clock.sleep(faults.syncDelayMs);
		}

		if (faults.isSyncFailing) {
			throw new StorageError('The sync of a file or folder failed.');
		}

		this.#change(apply);
	}

	/** Applies one operation that changes the disk. A power loss during it comes at random just before or just after the change. */
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
