/** `mulberrypitch drain`: stops one host without cutting off a request. */
import type {CAC} from 'cac';
import {callOperatorApi} from '../operator-client.js';
import {addTargetOptions, parseTarget, type TargetOptions} from '../options.js';
import {writeLine} from '../output.js';

/**
Adds the command.

@example
```
addDrainCommand(program);
```
*/
export function addDrainCommand(program: CAC): void {
	addTargetOptions(program.command('drain', 'Stop one host without cutting off a request'))
		.action(async (options: TargetOptions) => {
			await callOperatorApi(parseTarget(options), 'POST', '/v1/admin/drain');
			writeLine(`${options.host} is draining; its process ends by itself.`);
		});
}
