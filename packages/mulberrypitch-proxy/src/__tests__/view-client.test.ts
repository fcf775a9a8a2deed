/** Tests that an entry goes on after a reply of a coordinator that it can't use. */
import t from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {PeerUnreachableError, TimeoutError} from '@mulberrypitch/errors/catalogue';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {SeededRandom} from '@mulberrypitch/lifecycle/random';
import type {CataloguedEvent} from '@mulberrypitch/logger/events';
import {SilentLogger} from '@mulberrypitch/logger/logger';
import type {ViewReply, ViewRequest} from '@mulberrypitch/serving/view-messages';
import type {Transport} from '@mulberrypitch/transport/types';
import {ViewClient} from '../view-client.js';

const runMs = 5000;

// Guards against one malformed reply ending the polls of an entry, which then serves an old view until its process ends.
await t.test('polls go on after a malformed reply, and after one that can not be applied', async t => {
	const clock = new VirtualClock();
	const replies: unknown[] = [undefined, 'text', {}, {coordinators: ['a'], isInTouch: true, isBad: true}];
	const applied: ViewReply[] = [];
	const logged: number[] = [];
	const client = new ViewClient({
		getSeeds: () => ['a', 'b'],
		transport: assumeType<Transport>({
			async call() {
				await clock.sleep(50);
				return replies.length > 0 ? replies.shift() : {coordinators: ['a'], isInTouch: true};
			},
		}),
		clock,
		random: new SeededRandom(1),
		logger: {
			log({number}: CataloguedEvent) {
				logged.push(number);
			},
		},
		createRequest: () => assumeType<ViewRequest>({}),
		onReply(reply) {
			if (assumeType<{isBad?: boolean}>(reply).isBad === true) {
				throw new TypeError('This reply can not be applied.');
			}

			applied.push(reply);
		},
	});
	client.start();
	await clock.runFor(runMs);
	t.ok(applied.length > 20, `${applied.length} replies were applied`);
	t.ok(client.ageMs < 1000);
	t.ok(logged.includes(1004), 'the failures are logged');
	const disposed = client.dispose();
	await clock.runFor(1000);
	await disposed;
});

// Guards against a stream whose caller comes again elsewhere before any coordinator knows where it began, since the poll in progress waits for changes.
await t.test('a poll in a hurry does not wait for the reply to the one before, which is not used any more', async t => {
	const clock = new VirtualClock();
	const waitMs = 250;
	const startedAt: number[] = [];
	const applied: number[] = [];
	const client = new ViewClient({
		getSeeds: () => ['a'],
		transport: assumeType<Transport>({
			async call() {
				startedAt.push(clock.now());
				const poll = startedAt.length;
				await clock.sleep(waitMs);
				return {coordinators: ['a'], isInTouch: true, poll};
			},
		}),
		clock,
		random: new SeededRandom(1),
		logger: new SilentLogger(),
		createRequest: () => assumeType<ViewRequest>({waitMs}),
		onReply(reply) {
			applied.push(assumeType<{poll: number}>(reply).poll);
		},
	});
	client.start();
	await clock.runFor(waitMs + 10);
	client.hurry();
	await clock.runFor(waitMs + 100);
	t.strictSame(startedAt.slice(0, 2), [0, waitMs]);
	t.ok(startedAt[2]! - startedAt[1]! <= 50, `${startedAt[2]! - startedAt[1]!} ms after the poll before`);
	t.strictSame(applied, [1, 3]);
	const disposed = client.dispose();
	await clock.runFor(1000);
	await disposed;
});

// Guards against entries that crowd at few coordinators after an outage, and that ask across zones, which costs time and money.
await t.test('an entry moves to the coordinator of its zone, leaves it when it fails, and returns later', async t => {
	const clock = new VirtualClock();
	const polled: string[] = [];
	const state = {hasFailed: false};
	const client = new ViewClient({
		getSeeds: () => ['a', 'b', 'c'],
		transport: assumeType<Transport>({
			async call(address: string) {
				polled.push(address);
				await clock.sleep(100);
				if (address === 'b' && state.hasFailed) {
					throw new PeerUnreachableError(address);
				}

				return {coordinators: ['a', 'b', 'c'], nearby: ['b'], isInTouch: true};
			},
		}),
		clock,
		random: new SeededRandom(1),
		logger: new SilentLogger(),
		createRequest: () => assumeType<ViewRequest>({}),
		onReply() {
			// The test reads where the polls go.
		},
	});
	client.start();
	await clock.runFor(5000);
	t.strictSame(new Set(polled.slice(-10)), new Set(['b']), 'in its zone');
	state.hasFailed = true;
	await clock.runFor(1000);
	state.hasFailed = false;
	polled.length = 0;
	await clock.runFor(10_000);
	t.notOk(polled.includes('b'), 'not where a poll has failed');
	t.ok(client.ageMs < 300);
	await clock.runFor(15_000);
	t.strictSame(new Set(polled.slice(-10)), new Set(['b']), 'in its zone again');
	const disposed = client.dispose();
	await clock.runFor(1000);
	await disposed;
});

/** Returns the greatest age in milliseconds of the view of an entry while each of its coordinators is silent in turn. */
async function measureOldestView(hurryMs: number | undefined): Promise<number> {
	const clock = new VirtualClock();
	const state = {silent: ''};
	const client = new ViewClient({
		getSeeds: () => ['a', 'b'],
		transport: assumeType<Transport>({
			async call(address: string, _method: string, _request: unknown, {timeoutMs}: {timeoutMs: number}) {
				const isSilent = address === state.silent;
				await clock.sleep(isSilent ? timeoutMs : 20);
				if (isSilent) {
					throw new TimeoutError('watch', timeoutMs);
				}

				return {coordinators: ['a', 'b'], isInTouch: true};
			},
		}),
		clock,
		random: new SeededRandom(1),
		logger: new SilentLogger(),
		createRequest: () => assumeType<ViewRequest>({waitMs: 250}),
		onReply() {
			// The test reads the age of the view.
		},
	});
	client.start();
	await clock.runFor(1000);
	let oldestMs = 0;
	const stepMs = hurryMs ?? 50;
	for (const silent of ['a', 'b']) {
		state.silent = silent;
		for (let passedMs = 0; passedMs < 4000; passedMs += stepMs) {
			if (hurryMs !== undefined) {
				client.hurry();
			}

			await clock.runFor(stepMs);
			oldestMs = Math.max(oldestMs, client.ageMs);
		}
	}

	const disposed = client.dispose();
	await clock.runFor(1000);
	await disposed;
	return oldestMs;
}

// Guards against a silent coordinator that an entry never leaves, since each poll in a hurry ends the wait for the reply to the one before.
await t.test('an entry that is always in a hurry leaves a silent coordinator as soon as any other', async t => {
	const calmMs = await measureOldestView(undefined);
	for (const hurryMs of [10, 50, 300]) {
		const oldestMs = await measureOldestView(hurryMs);
		t.ok(oldestMs <= calmMs + 100, `${oldestMs} ms with a hurry each ${hurryMs} ms, ${calmMs} ms without`);
	}
});

/** Returns the greatest age in milliseconds of the view of an entry whose five coordinators all begin to take longer to reply, and how many polls failed. */
async function measureSlowView(replyMs: number): Promise<{oldestMs: number; failures: number}> {
	const clock = new VirtualClock();
	const coordinators = ['a', 'b', 'c', 'd', 'e'];
	const state = {replyMs: 20, failures: 0};
	const client = new ViewClient({
		getSeeds: () => coordinators.slice(0, 3),
		transport: assumeType<Transport>({
			async call(_address: string, _method: string, _request: unknown, {timeoutMs}: {timeoutMs: number}) {
				const isLate = state.replyMs > timeoutMs;
				// Timers fire a little early.
				await clock.sleep(isLate ? timeoutMs - 1 : state.replyMs);
				if (isLate) {
					state.failures += 1;
					throw new TimeoutError('watch', timeoutMs);
				}

				return {coordinators, isInTouch: true};
			},
		}),
		clock,
		random: new SeededRandom(1),
		logger: new SilentLogger(),
		createRequest: () => assumeType<ViewRequest>({}),
		onReply() {
			// The test reads the age of the view.
		},
	});
	client.start();
	await clock.runFor(5000);
	state.replyMs = replyMs;
	let oldestMs = 0;
	for (let passedMs = 0; passedMs < 20_000; passedMs += 50) {
		await clock.runFor(50);
		oldestMs = Math.max(oldestMs, client.ageMs);
	}

	const disposed = client.dispose();
	await clock.runFor(3000);
	await disposed;
	return {oldestMs, failures: state.failures};
}

/** Age of a view in milliseconds from which a leave or a configuration reaches the entry too late. */
const maxViewAgeMs = 2500;

// Guards against entries with an old view, which send requests to back ends that left, since they give up replies that take longer than usual at one coordinator after the other.
await t.test('the view of an entry stays recent while all coordinators take up to a second to reply', async t => {
	for (const replyMs of [450, 600, 900]) {
		const {oldestMs, failures} = await measureSlowView(replyMs);
		t.ok(oldestMs < maxViewAgeMs, `${oldestMs} ms old where replies take ${replyMs} ms`);
		t.ok(failures <= 2, `${failures} polls failed`);
	}
});
