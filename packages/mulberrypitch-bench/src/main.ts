/** Command line of the measurements: `npm run bench -- path|log|capacity`. */
import process from 'node:process';
import {cac} from 'cac';
import {measureLog} from './log-part.js';
import {measurePath} from './path-part.js';
import {measureCapacity} from './capacity-part.js';

const parts: Readonly<Record<string, () => Promise<void>>> = {
	path: measurePath,
	log: measureLog,
	capacity: measureCapacity,
};

const program = cac('mulberrypitch-bench');
program.command('<part>', `Measure one part: ${Object.keys(parts).join(', ')}`)
	.action(async (part: string) => {
		const measure = parts[part];
		if (measure === undefined) {
			process.stderr.write(`"${part}" is not a part. Use one of: ${Object.keys(parts).join(', ')}.\n`);
			process.exitCode = 2;
			return;
		}

		await measure();
	});
program.help();
program.parse(process.argv, {run: false});
await program.runMatchedCommand();
