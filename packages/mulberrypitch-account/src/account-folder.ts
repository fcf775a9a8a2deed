/** Reads the account straight from the data folder of a control host. */
import path from 'node:path';
import {getSystemCode} from '@mulberrypitch/errors/coded-error';
import {SettingsError} from '@mulberrypitch/errors/catalogue';
import {FileLog} from '@mulberrypitch/storage/file-log';
import type {Disk} from '@mulberrypitch/storage/types';
import {AccountStore} from './account-store.js';
import {ReadOnlyDisk} from './read-only-disk.js';
import type {AccountRecord} from './types.js';

/**
Reads all records under a data folder without changing a byte of it. The host may be running.

@example
```
const records = await readAccountFolder('data/palermo-1', 'main', new NodeDisk());
```
*/
export async function readAccountFolder(dataFolder: string, group: string, disk: Disk): Promise<readonly AccountRecord[]> {
	const store = new AccountStore(new FileLog(path.join(dataFolder, group, 'account'), new ReadOnlyDisk(disk)));
	try {
		await store.load();
	} catch (error) {
		if (getSystemCode(error) === 'ENOENT') {
			throw new SettingsError(`${dataFolder} holds no account of group ${group}.`, 'Give the data folder of a control host.');
		}

		throw error;
	}

	return store.read(1, Number.MAX_SAFE_INTEGER);
}
