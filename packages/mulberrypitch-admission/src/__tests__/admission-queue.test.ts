/** Tests the admission queue of one host on virtual time, and the split of slots between hosts. */
import t from 'tap';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {codes} from '@mulberrypitch/errors/catalogue';
import {hasCode} from '@mulberrypitch/errors/coded-error';
import {SeededRandom} from '@mulberrypitch/lifecycle/random';
import {AdmissionQueue} from '../admission-queue.js';
import {DemandQuota} from '../demand-quota.js';
import {EvenQuota, getMembership} from '../quota.js';
import type {AdmissionRequest, Ticket} from '../types.js';

const base: AdmissionRequest = {
	customer: 'a', service: 's', share: 1, maxInFlight: 100, deadline: 1_000_000, queueLimit: 100, capacity: 1, maxTokens: 0,
};

function createAdmission() {
	const clock = new VirtualClock();
	return {clock, admission: new AdmissionQueue({clock, quota: new EvenQuota(() => ({hosts: 1, rank: 0}))})};
}

/** Acquires a slot, records the customer in `order`, and releases the slot after a duration. */
async function serve(parts: ReturnType<typeof createAdmission>, request: AdmissionRequest, durationMs: number, order: string[]): Promise<void> {
	const ticket = await parts.admission.acquire(request);
	order.push(request.customer);
	await parts.clock.sleep(durationMs);
	ticket.release();
}

/** Returns the code of the error with which a request was refused or evicted, or `admitted`. */
async function getCode(ticket: Promise<Ticket>): Promise<string> {
	try {
		await ticket;
		return 'admitted';
	} catch (error) {
		return hasCode(error, codes.overloaded) || hasCode(error, codes.deadlineExceeded) ? error.code : 'other';
	}
}

await t.test('serves customers by their shares', async t => {
	const parts = createAdmission();
	const order: string[] = [];
	for (let index = 0; index < 40; index += 1) {
		void serve(parts, {...base, customer: 'large', share: 3}, 100, order);
		void serve(parts, {...base, customer: 'small', share: 1}, 100, order);
	}

	await parts.clock.runFor(4050);
	const first = order.slice(0, 40);
	t.ok(Math.abs(first.filter(name => name === 'large').length - 30) <= 1);
});

await t.test('starts short answers before long ones that came first', async t => {
	const parts = createAdmission();
	const order: string[] = [];
	for (const customer of ['long', 'long', 'short']) {
		void serve(parts, {...base, customer, maxTokens: customer === 'long' ? 1000 : 10}, 100, order);
	}

	await parts.clock.runFor(350);
	t.same(order, ['long', 'short', 'long']);
});

await t.test('starts the earlier deadline first within a customer', async t => {
	const parts = createAdmission();
	const order: string[] = [];
	const started: number[] = [];
	void serve(parts, base, 100, order);
	for (const deadline of [9000, 8000]) {
		void parts.admission.acquire({...base, deadline}).then(ticket => {
			started.push(deadline);
			ticket.release();
		});
	}

	await parts.clock.runFor(200);
	t.same(started, [8000, 9000]);
});

await t.test('refuses at once what can not finish in time', async t => {
	const parts = createAdmission();
	void serve(parts, base, 1000, []);
	await parts.clock.runFor(1100);
	t.equal(await getCode(parts.admission.acquire({...base, deadline: parts.clock.now() + 500})), codes.deadlineExceeded);
});

await t.test('rejects a waiting request when its deadline can no longer be met', async t => {
	const parts = createAdmission();
	await parts.admission.acquire(base);
	let code = 'waiting';
	void getCode(parts.admission.acquire({...base, deadline: 2000})).then(value => {
		code = value;
	});
	await parts.clock.runFor(1990);
	t.equal(code, 'waiting');
	await parts.clock.runFor(20);
	t.equal(code, codes.deadlineExceeded);
	t.equal(parts.admission.getQueueLength('s'), 0);
});

await t.test('keeps the queue bounded by evicting requests of the customer that fills it', async t => {
	const parts = createAdmission();
	await parts.admission.acquire(base);
	const flood = Array.from({length: 5}, async () => getCode(parts.admission.acquire({...base, queueLimit: 4})));
	void parts.admission.acquire({...base, customer: 'b', queueLimit: 4});
	t.same(await Promise.all(flood.slice(3)), [codes.overloaded, codes.overloaded]);
	t.equal(parts.admission.getQueueLength('s'), 4);
});

await t.test('limits the requests of one customer while others run', async t => {
	const parts = createAdmission();
	await parts.admission.acquire({...base, capacity: 3, maxInFlight: 1});
	void parts.admission.acquire({...base, capacity: 3, maxInFlight: 1});
	t.equal(await getCode(parts.admission.acquire({...base, customer: 'b', capacity: 3})), 'admitted');
	t.equal(parts.admission.getQueueLength('s'), 1);
});

await t.test('splits a total over hosts without exceeding it', async t => {
	const hosts = ['c', 'a', 'b'];
	const parts = hosts.map(host => new EvenQuota(() => getMembership(hosts, host)).getPart('k', 10));
	t.equal(parts.reduce((sum, part) => sum + part, 0), 10);
});

await t.test('reserves slots for short answers while long ones wait', async t => {
	const parts = createAdmission();
	for (let index = 0; index < 20; index += 1) {
		void serve(parts, {...base, capacity: 4, maxTokens: 100}, 2000, []);
	}

	await parts.clock.runFor(20_000);
	for (let index = 0; index < 20; index += 1) {
		void serve(parts, {...base, capacity: 4, maxTokens: 1000}, 10_000, []);
	}

	const short = Array.from({length: 3}, async () => getCode(parts.admission.acquire({...base, capacity: 4, maxTokens: 100})));
	const codesOfShort = Promise.all(short);
	t.equal(parts.admission.getQueueLength('s'), 19);
	t.same(await codesOfShort, ['admitted', 'admitted', 'admitted']);
});

await t.test('splits by demand without exceeding the total, and splits spare slots evenly', async t => {
	const getParts = (demands: readonly number[], total: number) => demands.map((_, index) => new DemandQuota(`h${index}`, () =>
		demands.map((value, host) => ({name: `h${host}`, demand: {k: value}}))).getPart('k', total));
	t.same(getParts([60, 0, 0], 90), [70, 10, 10]);
	t.same(getParts([100, 100, 10], 90), [40, 40, 10]);
	for (let seed = 1; seed <= 50; seed += 1) {
		const random = new SeededRandom(seed);
		const demands = Array.from({length: 7}, () => 1 + Math.floor(random.next() * 40));
		const sum = getParts(demands, 96).reduce((all, part) => all + part, 0);
		t.equal(sum, 96);
	}
});
