/** Tests that the coordinators go on after requests of other processes that they can't use. */
import t from 'tap';
import {methods} from '@mulberrypitch/serving/view-messages';
import {CoordinatorGroup, createDocument} from './coordinator-group.js';

const names = ['a', 'b', 'c'];
const timeoutMs = 900;

const commands: Readonly<Record<string, unknown>> = {
	'of an unknown kind': {kind: 'no such kind'},
	'without a kind': {},
	'that is no object': 'text',
	'to store a configuration without a document': {kind: 'putConfiguration', version: 7},
	'to store a document that is no configuration': {kind: 'putConfiguration', version: 7, document: 'text'},
	'to store a document of another version': {kind: 'putConfiguration', version: 7, document: createDocument(8)},
	'to take the duties for nobody': {kind: 'takeDuties'},
	'to record an order without a service': {kind: 'recordOrder'},
	'to record usage without counts': {kind: 'recordUsage', window: 1},
	'to save usage without entries': {kind: 'noteUsage', window: 1},
};

// Guards against one malformed command in the log that ends every coordinator, again after each restart.
for (const [name, command] of Object.entries(commands)) {
	await t.test(`a command ${name} is refused, and the coordinators go on, also after a restart`, async t => {
		const group = new CoordinatorGroup();
		await group.startAll();
		t.ok(await group.put(1, names));
		const transport = group.network.join('peer');
		for (const coordinator of names) {
			t.equal(await group.settle(transport.call(coordinator, methods.propose, command, {timeoutMs})), undefined);
		}

		t.ok(await group.put(2, names));
		for (const coordinator of names) {
			group.kill(coordinator);
		}

		await Promise.all(names.map(async coordinator => group.start(coordinator)));
		t.ok(await group.put(3, names));
		t.equal(await group.read('a'), 3);
		await group.dispose();
	});
}
