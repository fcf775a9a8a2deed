/** Tests that a control host whose disk was full asks to be started again. */
import t from 'tap';
import {hostRoles, type HostSettings} from '@mulberrypitch/config/types';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {MemoryDisk} from '@mulberrypitch/fakes/memory-disk';
import {MemoryNetwork} from '@mulberrypitch/fakes/memory-transport';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {SeededRandom} from '@mulberrypitch/lifecycle/random';
import {SilentLogger} from '@mulberrypitch/logger/logger';
import {Host} from '../host.js';

const names = ['a', 'b', 'c'];

// Guards against control hosts that run and refuse changes for good, since their disks were full for a while, one after another.
await t.test('a control host asks to be started again once its disk has room', async t => {
	const clock = new VirtualClock();
	const network = new MemoryNetwork(clock);
	const disks = new Map(names.map(name => [name, new MemoryDisk(clock, new SeededRandom(1))]));
	const restarts: string[] = [];
	const hosts = names.map((name, index) => new Host({
		settings: assumeType<HostSettings>({
			name,
			zone: name,
			roles: [hostRoles.control],
			group: 'control',
			replicas: names.map(other => ({name: other, address: other})),
			dataFolder: 'data',
		}),
		transport: network.join(name),
		clock,
		random: new SeededRandom(index + 1),
		logger: new SilentLogger(),
		disk: disks.get(name)!.open(),
		onStorageRecovered() {
			restarts.push(name);
		},
	}));
	for (const host of hosts) {
		await host.start();
	}

	disks.get('a')!.faults.isFull = true;
	await clock.runFor(3000);
	t.same(restarts, [], 'not while it is full');
	disks.get('a')!.faults.isFull = false;
	await clock.runFor(1000);
	t.same(restarts, ['a']);
	for (const host of hosts) {
		void host.dispose();
	}

	await clock.runFor(1000);
});
