/** Tests that the state keeps the software versions that back ends state, and loads what was stored before they could. */
import t from 'tap';
import {commandSchema} from '../commands.js';
import {ControlState} from '../control-state.js';

function register(version?: string) {
	return {
		kind: 'registerBackend',
		id: 'engine-1',
		incarnation: 'i',
		address: 'http://127.0.0.1:1',
		zone: 'z',
		machineClass: 'm',
		services: ['advice'],
		backendKind: 'engine',
		capabilities: {slots: 1, checksFencing: false, movesCache: false},
		...(version !== undefined && {version}),
	};
}

// Guards against a version that is lost on its way through the log or a snapshot, and against state without versions that can't be loaded.
await t.test('the version of a back end survives the log and a snapshot, and may be absent', t => {
	for (const version of ['1.2', undefined]) {
		const state = new ControlState();
		state.apply({
			index: 1, term: 1, time: 1, command: commandSchema.parse(register(version)),
		});
		const snapshot = JSON.stringify(state.capture());
		const restored = new ControlState();
		restored.restore(JSON.parse(snapshot));
		t.equal(restored.getBackend('engine-1')!.version, version);
	}

	t.end();
});
