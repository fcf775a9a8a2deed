/** Tests when an entry takes itself for cut off from all back ends. */
import t from 'tap';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {SilentLogger} from '@mulberrypitch/logger/logger';
import {BackendReachability} from '../backend-reachability.js';

const engines = ['e-1', 'e-2', 'e-3', 'e-4'];
const desks = ['d-1', 'd-2', 'd-3'];
const connectTimeoutMs = 300;
const checkMs = 100;
/** Time in milliseconds within which an entry must know that it is cut off, or no longer is. */
const boundMs = 1500;

/** An entry whose connections to some back ends hang. */
class Observed {
	readonly clock = new VirtualClock();
	readonly hanging = new Set<string>();
	probeCount = 0;
	isWaiting = true;
	readonly reachability = new BackendReachability({
		clock: this.clock,
		logger: new SilentLogger(),
		getServing: () => [...engines.map(id => ({id, service: 'model'})), ...desks.map(id => ({id, service: 'desk'}))],
		isWaiting: () => this.isWaiting,
		probe: async id => {
			this.probeCount += 1;
			await this.connect(id);
		},
	});

	async connect(id: string): Promise<void> {
		if (this.hanging.has(id)) {
			await this.clock.sleep(connectTimeoutMs);
			this.reachability.recordFailure(id);
		} else {
			this.reachability.recordConnection();
		}
	}

	/** Lets time pass. Returns whether the entry took itself for cut off at any moment. */
	async run(durationMs: number, act?: () => void): Promise<boolean> {
		let wasCutOff = false;
		for (let passedMs = 0; passedMs < durationMs; passedMs += checkMs) {
			act?.();
			this.reachability.check();
			await this.clock.runFor(checkMs);
			wasCutOff ||= this.reachability.isCutOff;
		}

		return wasCutOff;
	}

	hang(ids: readonly string[]): void {
		for (const id of ids) {
			this.hanging.add(id);
		}
	}
}

// Guards against a cut in which open connections hang: nothing fails by itself, so that the entry would wait for answers that never come.
await t.test('an entry finds out that all its connections hang, and that they no longer do', async t => {
	const observed = new Observed();
	observed.hang([...engines, ...desks]);
	t.ok(await observed.run(boundMs));
	t.ok(observed.reachability.isCutOff);
	observed.hanging.clear();
	await observed.run(boundMs);
	t.notOk(observed.reachability.isCutOff);
});

// Guards against requests that are passed on, or refused, though only one service is down, or one back end silent.
await t.test('an entry that reaches any back end is not cut off', async t => {
	for (const down of [desks, engines, ['e-1']]) {
		const observed = new Observed();
		observed.hang(down);
		const wasCutOff = await observed.run(2 * boundMs, () => {
			for (const id of down) {
				void observed.connect(id);
			}
		});
		t.notOk(wasCutOff, down.join(' '));
	}
});

// Guards against a process that was held up: the timeouts of its connections all end at the same moment.
await t.test('failures at a single moment do not show that an entry is cut off', async t => {
	const observed = new Observed();
	for (const id of [...engines, ...desks]) {
		observed.reachability.recordFailure(id);
	}

	t.notOk(await observed.run(boundMs));
});

// Guards against connections that are opened for nothing: each has a price.
await t.test('an idle entry whose connections don\'t fail probes nothing', async t => {
	const observed = new Observed();
	observed.isWaiting = false;
	await observed.run(2 * boundMs);
	t.equal(observed.probeCount, 0);
});
