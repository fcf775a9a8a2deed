/** A disk that can be read but not changed, so that evidence stays as it was found. */
import {StorageError} from '@mulberrypitch/errors/catalogue';
import type {Disk, DiskFile} from '@mulberrypitch/storage/types';

/** Passes reads on. A torn tail is left where it is; every other change is refused. */
export class ReadOnlyDisk implements Disk {
	readonly #disk: Disk;

	constructor(disk: Disk) {
		this.#disk = disk;
	}

	async makeFolder(): Promise<void> {
		// The folder is there, or listing it fails.
	}

	async list(folder: string): Promise<readonly string[]> {
		return this.#disk.list(folder);
	}

	async read(file: string): Promise<Uint8Array | undefined> {
		return this.#disk.read(file);
	}

	async truncate(): Promise<void> {
		// The reader leaves out what follows the last whole record.
	}

	async openForAppend(file: string): Promise<DiskFile> {
		throw createRefusal(file);
	}

	async rename(from: string): Promise<void> {
		throw createRefusal(from);
	}

	async remove(file: string): Promise<void> {
		throw createRefusal(file);
	}

	async syncFolder(): Promise<void> {
		// A sync changes nothing that can be read.
	}
}

function createRefusal(file: string): StorageError {
	return new StorageError(`${file} may only be read here.`);
}
