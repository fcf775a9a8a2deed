/** Tests which requests may wait for a place, by the rate at which places are granted. */
import t from 'tap';
import {FairQueue, type WaitingRequest} from '../fair-order.js';
import {WaitForecast} from '../wait-forecast.js';

const costMs = 100;

/** Creates a forecast with some grants a second for the last two seconds. */
function createForecast(grantsPerSecond: number) {
	let now = 0;
	const forecast = new WaitForecast(() => now);
	for (let count = 0; count < 2 * grantsPerSecond; count += 1) {
		now += 1000 / grantsPerSecond;
		forecast.recordGrant(costMs);
	}

	const pass = (ms: number) => {
		now += ms;
	};

	return {forecast, pass};
}

await t.test('a request that is likely to start in time may use all of it', async t => {
	const {forecast} = createForecast(10);
	const {maxWaitMs, expectedMs} = forecast.decide({budgetMs: 700, freeMs: 100, workBeforeMs: 3 * costMs});
	t.equal(maxWaitMs, 700);
	t.ok(Math.abs(expectedMs! - 400) < 30, `${expectedMs} ms`);
});

// Guards against a rejection that comes after a wait, since it costs the caller time to go elsewhere.
await t.test('a request that is unlikely to start in time waits only while a rejection costs nothing, and a hopeless one not at all', async t => {
	const {forecast} = createForecast(10);
	t.equal(forecast.decide({budgetMs: 700, freeMs: 100, workBeforeMs: 20 * costMs}).maxWaitMs, 100);
	t.equal(forecast.decide({budgetMs: 700, freeMs: 100, workBeforeMs: 100 * costMs}).maxWaitMs, 0);
	t.ok(forecast.isHopeless(50, 10 * costMs));
	t.notOk(forecast.isHopeless(300, 10 * costMs));
});

// Guards against rejections by a forecast that rests on next to nothing, where there is little load.
await t.test('while few places were granted lately, any request waits as long as a rejection costs nothing', async t => {
	const {forecast, pass} = createForecast(2);
	t.same(forecast.decide({budgetMs: 700, freeMs: 100, workBeforeMs: 100 * costMs}), {maxWaitMs: 100});
	const busy = createForecast(10);
	busy.pass(3000);
	pass(0);
	t.same(busy.forecast.decide({budgetMs: 700, freeMs: 100, workBeforeMs: 0}), {maxWaitMs: 100});
	t.notOk(createForecast(2).forecast.isHopeless(50, 100), 'too few grants');
	t.ok(busy.forecast.isHopeless(50, 10 * costMs), 'nothing granted for long');
});

function createWaiting(customer: string, share: number, latestStart: number): WaitingRequest {
	return {
		customer, share, limit: Number.POSITIVE_INFINITY, isShort: true, costMs, latestStart,
	};
}

// Guards against urgent requests that leave nothing to less urgent ones, and the reverse.
await t.test('kinds that wait start in proportion to their shares, each by latest start', async t => {
	const queue = new FairQueue<WaitingRequest>();
	for (let index = 0; index < 40; index += 1) {
		queue.add(createWaiting('urgent', 1, 100 - index));
		queue.add(createWaiting('other', 0.25, index));
	}

	const started = Array.from({length: 20}, () => queue.takeWhere(() => true, 4)!);
	t.equal(started.filter(({customer}) => customer === 'other').length, 4);
	t.equal(started[0]!.latestStart, 61);
	t.equal(queue.size, 60);
});

await t.test('a request that can\'t start is passed over, and few are asked', async t => {
	const queue = new FairQueue<WaitingRequest>();
	const [first, second] = [createWaiting('a', 1, 1), createWaiting('a', 1, 2)];
	queue.add(first);
	queue.add(second);
	t.equal(queue.takeWhere(item => item === second, 4), second);
	let asked = 0;
	for (let index = 0; index < 9; index += 1) {
		queue.add(createWaiting('a', 1, index));
	}

	queue.takeWhere(() => {
		asked += 1;
		return false;
	}, 4);
	t.equal(asked, 4);
});
