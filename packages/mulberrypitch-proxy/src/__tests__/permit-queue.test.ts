/** Tests how requests wait for a permit, and how the wait ends, when all permits are taken. */
import t from 'tap';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {PermitQueue} from '../permit-queue.js';

function createQueue(clock: VirtualClock) {
	const queue = new PermitQueue<string>(clock);
	const free: string[] = [];
	const acquire = async (priority: number, maxWaitMs: number, controller = new AbortController()) => queue.acquire({
		priority, maxWaitMs, signal: controller.signal, tryAcquire: () => free.shift(),
	});
	return {queue, free, acquire};
}

await t.test('in a burst, the most urgent requests get the free permits, in order of arrival within a priority', async t => {
	const clock = new VirtualClock();
	const {queue, free, acquire} = createQueue(clock);
	const results = [acquire(2, 1000), acquire(1, 1000), acquire(1, 1000)];
	await clock.runFor(10);
	free.push('a', 'b');
	queue.grantPermits();
	t.same(await Promise.all(results.slice(1)), ['a', 'b']);
	t.equal(queue.length, 1);
	await clock.runFor(1000);
	t.equal(await results[0], undefined);
});

await t.test('a request does not overtake waiting ones of its priority, and a more urgent one takes a free permit at once', async t => {
	const clock = new VirtualClock();
	const {free, acquire} = createQueue(clock);
	const waiting = acquire(1, 1000);
	await clock.runFor(1);
	free.push('a');
	t.equal(await acquire(1, 0), undefined);
	t.equal(await acquire(0, 0), 'a');
	await clock.runFor(1000);
	t.equal(await waiting, undefined);
});

await t.test('a caller that disconnects leaves the queue', async t => {
	const clock = new VirtualClock();
	const {queue, acquire} = createQueue(clock);
	const caller = new AbortController();
	const waiting = acquire(1, 1000, caller);
	await clock.runFor(1);
	caller.abort();
	await clock.runFor(1);
	t.equal(await waiting, undefined);
	t.equal(queue.length, 0);
});

// Guards against a permit that a caller takes who has already left.
await t.test('a caller that left before it asked gets no permit and does not wait', async t => {
	const clock = new VirtualClock();
	const {queue, free, acquire} = createQueue(clock);
	const caller = new AbortController();
	caller.abort();
	free.push('a');
	t.equal(await acquire(1, 1000, caller), undefined);
	t.equal(queue.length, 0);
	t.equal(await acquire(1, 0), 'a');
});

// Guards against a request that waits until its limit for a back end whose pause has ended, since nothing else happens at its entry.
await t.test('a permit that becomes free by time alone is granted soon', async t => {
	const clock = new VirtualClock();
	const queue = new PermitQueue<string>(clock);
	const freeAt = clock.now() + 60;
	const granted = queue.acquire({
		priority: 0, maxWaitMs: 500, signal: new AbortController().signal, tryAcquire: () => clock.now() >= freeAt ? 'permit' : undefined,
	});
	let grantedAt = Number.POSITIVE_INFINITY;
	void granted.then(() => {
		grantedAt = clock.now();
	});
	await clock.runFor(1000);
	t.equal(await granted, 'permit');
	t.ok(grantedAt - freeAt <= 50, `after ${grantedAt - freeAt} ms`);
});

// Guards against a request that is held until the end of its time and then rejected, since no more permits become free.
await t.test('a request that is no longer likely to start in time is rejected before that is over, and its caller learns why', async t => {
	const clock = new VirtualClock();
	const {queue, free} = createQueue(clock);
	const ends: Array<{readonly end: string; readonly waitedMs: number}> = [];
	const acquire = async () => queue.acquire({
		priority: 0, costMs: 100, maxWaitMs: 2000, freeWaitMs: 50, signal: new AbortController().signal, tryAcquire: () => free.shift(), onWaitEnded({end, waitedMs}) {
			ends.push({end, waitedMs});
		},
	});
	for (let count = 0; count < 20; count += 1) {
		free.push('permit');
		await acquire();
		await clock.runFor(100);
	}

	const results = Array.from({length: 18}, async () => acquire());
	await clock.runFor(1000);
	t.same(ends, []);
	await clock.runFor(900);
	const hopeless = ends.filter(({end}) => end === 'hopeless');
	t.ok(hopeless.length > 3, JSON.stringify(ends));
	t.ok(hopeless.every(({waitedMs}) => waitedMs < 1900));
	await clock.runFor(200);
	t.same(await Promise.all(results), Array.from({length: 18}, () => undefined));
});

await t.test('a request without a chance to start in time is rejected at once', async t => {
	const clock = new VirtualClock();
	const {queue, free} = createQueue(clock);
	const acquire = async (maxWaitMs: number) => queue.acquire({
		priority: 0, costMs: 1000, maxWaitMs, freeWaitMs: 50, signal: new AbortController().signal, tryAcquire: () => free.shift(),
	});
	for (let count = 0; count < 6; count += 1) {
		free.push('permit');
		await acquire(1000);
		await clock.runFor(300);
	}

	const startedAt = clock.now();
	t.ok(queue.expectedMs! > 300);
	t.equal(await acquire(20), undefined);
	t.equal(clock.now(), startedAt);
});

// Guards against an entry that falls behind in a burst, since each release tries all waiting requests of all kinds.
await t.test('a release tries few of many waiting kinds, and an offer at an interval reaches those behind them', async t => {
	const clock = new VirtualClock();
	const queue = new PermitQueue<string>(clock);
	let tries = 0;
	let isFree = false;
	const acquire = async (kind: string, tryAcquire: () => string | undefined) => queue.acquire({
		priority: 0, kind, maxWaitMs: 1000, signal: new AbortController().signal, tryAcquire,
	});
	const blocked = Array.from({length: 40}, async (_, index) => acquire(`kind-${index}`, () => {
		tries += 1;
		return undefined;
	}));
	const last = acquire('last', () => isFree ? 'a' : undefined);
	await clock.runFor(1);
	tries = 0;
	queue.grantPermits();
	t.ok(tries > 0 && tries <= 12, `${tries} tries`);
	isFree = true;
	await clock.runFor(50);
	t.equal(await last, 'a');
	await clock.runFor(1000);
	t.same(new Set(await Promise.all(blocked)), new Set([undefined]));
});
