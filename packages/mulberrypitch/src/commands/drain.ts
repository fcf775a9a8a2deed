/** `mulberrypitch drain`: stops one host after the requests that it serves have finished. */
import type {CAC} from 'cac';
import {callOperatorApi} from '../operator-client.js';
import {addOperatorApiOptions, parseOperatorEndpoint, type OperatorApiOptions} from '../options.js';
import {writeLine} from '../output.js';

/**
Adds the `drain` command to the program.

@example
```
addDrainCommand(program);
```
*/
export function addDrainCommand(program: CAC): void {
	addOperatorApiOptions(program.command('drain', 'Stop one host without cutting off a request'))
		.action(async (options: OperatorApiOptions) => {
			await callOperatorApi(parseOperatorEndpoint(options), 'POST', '/v1/admin/drain');
			writeLine(`${options.host} is draining; its process ends by itself.`);
		});
}
