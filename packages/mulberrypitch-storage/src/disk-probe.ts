/** Checks whether a disk accepts writes. */
import path from 'node:path';
import type {Disk} from './types.js';

const probeName = 'probe';
const probeBytes = new Uint8Array(64);

/**
Writes, syncs and removes a small file in a folder. Throws the error of the disk if one of these steps fails.

@example
```
await probeDisk(new NodeDisk(), dataFolder);
```
*/
export async function probeDisk(disk: Disk, folder: string): Promise<void> {
	const file = path.join(folder, probeName);
	const handle = await disk.openForAppend(file);
	try {
		await handle.write(probeBytes);
		await handle.sync();
	} finally {
		await handle.close();
	}

	await disk.remove(file);
}
