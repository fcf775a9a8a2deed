/** The file operations of log storage, on the file system of the machine. */
import {
	mkdir, open, readdir, readFile, rename, rm, truncate,
} from 'node:fs/promises';
import {getSystemCode} from '@mulberrypitch/errors/coded-error';
import type {Disk, DiskFile} from './types.js';

/** File operations through Node's `fs` module. */
export class NodeDisk implements Disk {
	async makeFolder(folder: string): Promise<void> {
		await mkdir(folder, {recursive: true});
	}

	async list(folder: string): Promise<readonly string[]> {
		const names = await readdir(folder);
		return names.toSorted();
	}

	async read(file: string): Promise<Uint8Array | undefined> {
		try {
			return await readFile(file);
		} catch (error) {
			if (getSystemCode(error) === 'ENOENT') {
				return undefined;
			}

			throw error;
		}
	}

	async openForAppend(file: string): Promise<DiskFile> {
		const handle = await open(file, 'a');
		return {
			async write(data) {
				await handle.appendFile(data);
			},
			async sync() {
				await handle.datasync();
			},
			async close() {
				await handle.close();
			},
		};
	}

	async truncate(file: string, lengthBytes: number): Promise<void> {
		await truncate(file, lengthBytes);
		const handle = await open(file, 'r+');
		await handle.sync();
		await handle.close();
	}

	async rename(from: string, to: string): Promise<void> {
		await rename(from, to);
	}

	async remove(file: string): Promise<void> {
		await rm(file, {force: true});
	}

	async syncFolder(folder: string): Promise<void> {
		const handle = await open(folder, 'r');
		await handle.sync();
		await handle.close();
	}
}
