/** Reads the audit log (the account) from the data folder of a control host. */
import path from 'node:path';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {getSystemCode} from '@mulberrypitch/errors/coded-error';
import {SettingsError} from '@mulberrypitch/errors/catalogue';
import {readLogFiles, type DiskReader} from '@mulberrypitch/storage/log-reader';
import type {AccountRecord} from './types.js';

/**
Returns all audit records of a group in a data folder. Writes nothing, so the host may be running. Throws `SettingsError` when the
folder has no audit log of the group.

@example
```
const records = await readAccountFolder('data/palermo-1', 'main', new NodeDisk());
```
*/
export async function readAccountFolder(dataFolder: string, group: string, disk: DiskReader): Promise<readonly AccountRecord[]> {
	try {
		const {log} = await readLogFiles(path.join(dataFolder, group, 'account'), disk);
		return log.entries.map(entry => assumeType<AccountRecord>(entry.command));
	} catch (error) {
		if (getSystemCode(error) === 'ENOENT') {
			throw new SettingsError(`${dataFolder} holds no account of group ${group}.`, 'Give the data folder of a control host.');
		}

		throw error;
	}
}
