/** Orders of two successive leaders, to back ends that check fencing tokens and to back ends that ignore them. */
import t, {type Test} from 'tap';
import type {BackendServer, DesiredState} from '@mulberrypitch/control/types';
import {codes} from '@mulberrypitch/errors/catalogue';
import {FencedOrderTarget, HeldOrderPort, UnfencedOrderTarget} from '@mulberrypitch/fakes/order-target';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {SilentLogger} from '@mulberrypitch/logger/logger';
import {createFencingToken} from '../fencing.js';
import {
	OrderSender, orderTimeoutMs, repairIntervalMs, takeOverDelayMs,
} from '../order-sender.js';

const backend: BackendServer = {
	id: 'engine',
	incarnation: 'first',
	address: 'http://127.0.0.9:1',
	zone: 'palermo',
	machineClass: 'standard',
	services: ['advice'],
	kind: 'engine',
	capabilities: {slots: 1, checksFencing: true, movesCache: false},
	isLeaving: false,
};
const stepMs = 10;

function createDesired(version: number): DesiredState {
	return {role: 'serving', models: [`advice@${version}`], adapters: []};
}

/** Two replicas. The second becomes the leader while an order of the first is held back. */
class TwoLeaders {
	readonly clock = new VirtualClock();
	readonly leaderships = [{term: 1, isLeading: true}, {term: 1, isLeading: false}];
	readonly desired = [createDesired(1), createDesired(1)];
	readonly ports: HeldOrderPort[];

	constructor(t: Test, readonly target: UnfencedOrderTarget) {
		this.ports = this.leaderships.map(() => new HeldOrderPort(target));
		for (const [index, leadership] of this.leaderships.entries()) {
			const sender = new OrderSender({
				leadership: {
					get term() {
						return leadership.term;
					},
					hasLease: () => leadership.isLeading,
				},
				state: {
					getBackend: () => backend, getDesired: () => this.desired[index], listDesired: () => [backend.id],
				},
				port: this.ports[index]!,
				clock: this.clock,
				logger: new SilentLogger(),
			});
			sender.start();
			t.teardown(async () => {
				this.ports[index]!.release();
				await sender.dispose();
			});
		}
	}

	/** Freezes the first leader between its lease check and its send, and makes the second the leader with another desired state. */
	async takeOver(): Promise<void> {
		const [frozen] = this.ports;
		frozen!.isHolding = true;
		await this.clock.runUntil(() => frozen!.held > 0, takeOverDelayMs + 1000);
		this.leaderships[0]!.isLeading = false;
		this.leaderships[1] = Object.assign(this.leaderships[1]!, {term: 2, isLeading: true});
		this.desired[1] = createDesired(2);
		await this.clock.runUntil(() => this.target.taken.length > 0, takeOverDelayMs + 1000);
	}
}

await t.test('a new leader waits for the lease and the order timeout of its predecessor', async t => {
	const target = new UnfencedOrderTarget();
	const leaders = new TwoLeaders(t, target);
	await leaders.clock.runFor(takeOverDelayMs - stepMs);
	t.same(target.taken, []);
	await leaders.clock.runFor(200);
	t.same(target.taken, [createFencingToken(1, 1)]);
	await leaders.clock.runFor(5 * repairIntervalMs);
	t.equal(target.taken.length, 1, 'a back end in its desired state gets no order');
	t.ok(takeOverDelayMs > orderTimeoutMs);
});

await t.test('a back end that checks fencing tokens refuses the delayed order of the old leader', async t => {
	const target = new FencedOrderTarget();
	const leaders = new TwoLeaders(t, target);
	await leaders.takeOver();
	t.same(target.taken, [createFencingToken(2, 1)]);
	leaders.ports[0]!.release();
	await leaders.clock.runFor(2 * repairIntervalMs);
	t.same(target.refused, [createFencingToken(1, 1)]);
	t.same(target.taken, [createFencingToken(2, 1)]);
	t.same(target.state, createDesired(2));
});

await t.test('a back end that does not check fencing tokens applies the delayed order, and is repaired within one interval', async t => {
	const target = new UnfencedOrderTarget();
	const leaders = new TwoLeaders(t, target);
	await leaders.takeOver();
	leaders.ports[0]!.release();
	await leaders.clock.runFor(stepMs);
	t.same(target.state, createDesired(1), 'the order of the old leader arrives last');
	const heldAt = leaders.clock.now();
	t.ok(await leaders.clock.runUntil(() => target.state.models[0] === 'advice@2', repairIntervalMs + stepMs));
	t.comment(`in the old state for ${leaders.clock.now() - heldAt} ms of virtual time`);
	t.same(target.taken, [createFencingToken(2, 1), createFencingToken(1, 1), createFencingToken(2, 2)]);
});

await t.test('a leader that lost its lease while it read a state sends nothing', async t => {
	const target = new UnfencedOrderTarget();
	const leaders = new TwoLeaders(t, target);
	const [port] = leaders.ports;
	port!.read = async () => {
		await leaders.clock.sleep(orderTimeoutMs / 2);
		leaders.leaderships[0]!.isLeading = false;
		return target.state;
	};

	await leaders.clock.runFor(takeOverDelayMs + (2 * orderTimeoutMs));
	t.same(target.taken, []);
});

await t.test('fencing tokens increase across terms, and a sequence number out of range is refused', t => {
	t.ok(createFencingToken(3, 0) > createFencingToken(2, 1_000_000));
	t.throws(() => createFencingToken(1, 2 ** 20), {code: codes.invariant});
	t.end();
});
