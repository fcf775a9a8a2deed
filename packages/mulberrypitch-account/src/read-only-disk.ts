/** A disk whose changes stay in memory, so that evidence stays as it was found. */
import {Buffer} from 'node:buffer';
import path from 'node:path';
import type {Disk, DiskFile} from '@mulberrypitch/storage/types';

/** Reads from another disk. What a reader repairs, for example a torn tail, it sees itself; the files are not touched. */
export class ReadOnlyDisk implements Disk {
	readonly #disk: Disk;
	/** Contents of changed files; nothing for removed ones. */
	readonly #changed = new Map<string, Uint8Array | undefined>();

	constructor(disk: Disk) {
		this.#disk = disk;
	}

	async makeFolder(): Promise<void> {
		// The folder is there, or listing it fails.
	}

	async list(folder: string): Promise<readonly string[]> {
		const names = new Set(await this.#disk.list(folder));
		for (const [file, content] of this.#changed) {
			if (path.dirname(file) !== folder) {
				continue;
			}

			if (content === undefined) {
				names.delete(path.basename(file));
			} else {
				names.add(path.basename(file));
			}
		}

		return [...names].toSorted();
	}

	async read(file: string): Promise<Uint8Array | undefined> {
		return this.#changed.has(file) ? this.#changed.get(file) : this.#disk.read(file);
	}

	async openForAppend(file: string): Promise<DiskFile> {
		this.#changed.set(file, await this.read(file) ?? new Uint8Array());
		return {
			write: async data => {
				this.#changed.set(file, Buffer.concat([this.#changed.get(file)!, data]));
			},
			async sync() {
				// Memory is as durable as the reader needs.
			},
			async close() {
				// Nothing is open.
			},
		};
	}

	async truncate(file: string, lengthBytes: number): Promise<void> {
		const content = await this.read(file);
		this.#changed.set(file, content?.slice(0, lengthBytes));
	}

	async rename(from: string, to: string): Promise<void> {
		this.#changed.set(to, await this.read(from));
		this.#changed.set(from, undefined);
	}

	async remove(file: string): Promise<void> {
		this.#changed.set(file, undefined);
	}

	async syncFolder(): Promise<void> {
		// Nothing was written.
	}
}
