/** Tests what an announcement of a back end registers. */
import t from 'tap';
import type {ControlClient} from '@mulberrypitch/control/control-client';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {SilentLogger} from '@mulberrypitch/logger/logger';
import {BackendDirectory} from '../backend-directory.js';
import {announcementSchema} from '../types.js';

const announcement = {
	id: 'engine-1', incarnation: 'i', address: 'http://127.0.0.1:1', zone: 'z', services: ['advice'], kind: 'engine', capabilities: {slots: 1},
};

// Guards against a software version that is stated in an announcement and doesn't reach the control group.
await t.test('a back end is registered with the software version that it states, or with none', async t => {
	const commands: unknown[] = [];
	const control = assumeType<ControlClient>({
		backends: [],
		async propose(command: unknown) {
			commands.push(command);
		},
	});
	const directory = new BackendDirectory({getControl: () => control, clock: new VirtualClock(), logger: new SilentLogger()});
	await directory.announce(announcementSchema.parse({...announcement, version: '1.2'}));
	await directory.announce(announcementSchema.parse(announcement));
	t.match(commands[0], {kind: 'registerBackend', backendKind: 'engine', version: '1.2'});
	t.notHas(commands[1], {version: '1.2'});
	await t.rejects(async () => announcementSchema.parse({...announcement, version: ''}));
});
