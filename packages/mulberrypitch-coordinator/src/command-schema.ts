/**
 * Schema of the commands that coordinators propose to their leader. A command that no replica can apply must not get into the log. Those of
 * roll-outs are not among them: the leader proposes them itself, after checks that a proposal of another coordinator would pass by.
 */
import * as z from 'zod';
import type {ProposedCommand} from '@mulberrypitch/control/types';
import {validateServingConfiguration} from '@mulberrypitch/serving/configuration-check';
import type {ConfigurationDecoder} from '@mulberrypitch/serving/types';
import type {Schema} from '@mulberrypitch/transport/types';

const integer = z.number().int().nonnegative();
const counts = z.record(z.string(), z.number());

const commandSchema = z.discriminatedUnion('kind', [
	z.strictObject({kind: z.literal('putConfiguration'), version: integer, document: z.string()}),
	z.strictObject({kind: z.literal('takeDuties'), holder: z.string()}),
	z.strictObject({kind: z.literal('noteUsage'), window: integer, entries: z.record(z.string(), counts)}),
	z.strictObject({kind: z.literal('recordUsage'), window: integer, counts}),
	z.strictObject({kind: z.literal('recordDeparture'), backend: z.string(), startedAt: z.number()}),
	z.strictObject({
		kind: z.literal('recordOrder'),
		order: z.strictObject({
			service: z.string(), zone: z.string(), isSpot: z.boolean(), desired: integer,
		}),
	}),
]);

/**
Returns a schema of commands that also decodes the configurations in them.

@example
```
const command = createCommandSchema(decode).parse(received);
```
*/
export function createCommandSchema(decode: ConfigurationDecoder): Schema<ProposedCommand> {
	return commandSchema.superRefine((command, context) => {
		if (command.kind !== 'putConfiguration') {
			return;
		}

		const configuration = decode(command.document);
		validateServingConfiguration(configuration);
		if (configuration.version !== command.version) {
			context.addIssue({code: 'custom', message: `The document has version ${configuration.version}.`});
		}
	});
}
