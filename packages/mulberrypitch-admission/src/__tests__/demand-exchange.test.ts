/** Tests that hosts exchange their demands and discard outdated ones. */
import t from 'tap';
import {MemoryNetwork} from '@mulberrypitch/fakes/memory-transport';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {DemandExchange} from '../demand-exchange.js';

await t.test('receives the demands of the other hosts and discards that of a host that stops sending', async t => {
	const clock = new VirtualClock();
	const network = new MemoryNetwork(clock);
	const names = ['a', 'b', 'c'];
	const exchanges = names.map((host, index) => new DemandExchange({
		host,
		transport: network.join(host),
		clock,
		getPeers: () => names.map(name => ({name, address: name})),
		getDemand: () => ({k: index}),
		onChange() {
			// This test doesn't check quotas.
		},
		onFailure(error) {
			throw error;
		},
	}));
	await clock.runFor(1000);
	t.same(exchanges[0]!.hosts, [{name: 'a', demand: {k: 0}}, {name: 'b', demand: {k: 1}}, {name: 'c', demand: {k: 2}}]);
	const stopped = exchanges[2]!.dispose();
	await clock.runFor(5000);
	await stopped;
	t.same(exchanges[0]!.hosts.at(-1), {name: 'c'});
	const ended = Promise.all(exchanges.map(async exchange => exchange.dispose()));
	await clock.runFor(1000);
	await ended;
});
