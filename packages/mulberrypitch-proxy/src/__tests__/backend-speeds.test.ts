/** Tests what an entry observes and uses of the speeds of back ends. */
import {Buffer} from 'node:buffer';
import t from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {BackendSpeeds} from '../backend-speeds.js';
import type {KnownBackend} from '../known-backend.js';

const prompt = {tokens: 100, sharedTokens: 0, sharedParts: []};
/** Bytes a second that the control plane may take per node. */
const nodeBytesPerSecond = 11_000;

function createBackend(id: string, isEjected = false): KnownBackend {
	return assumeType<KnownBackend>({
		id, isEjected, load: 1, pendingTokens: 100,
	});
}

async function answer(clock: VirtualClock, speeds: BackendSpeeds, {id, ms, isSuccess = true, isEjected = false}: {
	readonly id: string;
	readonly ms: number;
	readonly isSuccess?: boolean;
	readonly isEjected?: boolean;
}): Promise<void> {
	const observation = speeds.observe(createBackend(id, isEjected), {route: 'r', prompt});
	await clock.runFor(ms);
	observation.recordPart();
	observation.end(isSuccess);
}

// Guards against failures that come fast, and the few probes of a suspected back end, that make it look fast.
await t.test('failures and answers of ejected back ends don\'t count', async t => {
	const clock = new VirtualClock();
	const speeds = new BackendSpeeds(clock);
	for (let count = 0; count < 30; count += 1) {
		await answer(clock, speeds, {id: 'sound', ms: 100});
		await answer(clock, speeds, {id: 'failing', ms: 2, isSuccess: false});
		await answer(clock, speeds, {id: 'ejected', ms: 2, isEjected: true});
	}

	t.same(Object.keys(speeds.takeReport()!), ['sound']);
});

await t.test('a report is made once a second', async t => {
	const clock = new VirtualClock();
	const speeds = new BackendSpeeds(clock);
	t.ok(speeds.takeReport());
	await clock.runFor(900);
	t.notOk(speeds.takeReport());
	await clock.runFor(100);
	t.ok(speeds.takeReport());
});

// Guards against evidence that lapses at the coordinators, after 5 s, before the next report of an entry with many uneven back ends.
await t.test('with 600 speeds, reports come each 2 s, and speeds are asked for before they lapse though a reply is lost', async t => {
	const clock = new VirtualClock();
	const speeds = new BackendSpeeds(clock);
	const reply = Object.fromEntries(Array.from({length: 600}, (_, index) => [`engine-${index}`, 0.71]));
	const reports: number[] = [];
	const asked: number[] = [];
	for (let polls = 0; polls < 600; polls += 1) {
		await clock.runFor(100);
		if (speeds.takeReport() !== undefined) {
			reports.push(clock.now());
			if (!speeds.skipsSpeeds) {
				asked.push(clock.now());
				// Every other reply is lost.
				speeds.apply(asked.length % 2 === 1 ? reply : undefined);
			}
		}

		t.equal(speeds.getSpeed('engine-1'), 0.71);
	}

	const getLongestGap = (times: readonly number[]) => Math.max(...times.slice(1).map((time, index) => time - times[index]!));
	t.ok(getLongestGap(reports) <= 2000, `${getLongestGap(reports)}`);
	t.ok(asked.length <= reports.length / 2, `${asked.length} of ${reports.length}`);
});

// Guards against an entry that asks for speeds with every other report only, although they are few.
await t.test('few speeds come with each reply', async t => {
	const clock = new VirtualClock();
	const speeds = new BackendSpeeds(clock);
	for (let second = 0; second < 5; second += 1) {
		t.ok(speeds.takeReport());
		t.notOk(speeds.skipsSpeeds);
		await clock.runFor(100);
		speeds.apply({a: 0.7});
		await clock.runFor(900);
	}
});

// Guards against speeds that stay in force when no coordinator, or only one of an earlier version, replies.
await t.test('speeds that are not confirmed are no longer used', async t => {
	const clock = new VirtualClock();
	const speeds = new BackendSpeeds(clock);
	t.equal(speeds.getSpeed('a'), 1);
	speeds.apply({a: 0.7});
	speeds.apply(undefined);
	t.equal(speeds.getSpeed('a'), 0.7);
	t.equal(speeds.getSpeed('b'), 1);
	await clock.runFor(16_000);
	t.equal(speeds.getSpeed('a'), 1);
});

// Guards against messages that take much of the bytes a second that a node may use, also when there are hundreds of back ends.
await t.test('reports and replies take a small part of the bytes of a node', async t => {
	for (const count of [63, 600]) {
		const clock = new VirtualClock();
		const speeds = new BackendSpeeds(clock);
		const reply = Object.fromEntries(Array.from({length: count}, (_, index) => [`engine-${1000 + index}`, 0.71]));
		let bytes = 0;
		for (let second = 0; second < 60; second += 1) {
			// An entry of the largest deployment sends 7.5 requests a second.
			for (let sent = 0; sent < 8; sent += 1) {
				await answer(clock, speeds, {id: `engine-${1000 + (((second * 8) + sent) * 37 % count)}`, ms: 125});
			}

			const report = speeds.takeReport();
			if (report !== undefined) {
				const {skipsSpeeds} = speeds;
				bytes += Buffer.byteLength(JSON.stringify({speeds: report, skipsSpeeds})) + (skipsSpeeds ? 0 : Buffer.byteLength(JSON.stringify({speeds: reply})));
				speeds.apply(skipsSpeeds ? undefined : reply);
			}
		}

		t.comment(`${count} back ends, all of another speed: ${Math.round(bytes / 60)} bytes a second`);
		t.ok(bytes / 60 < 0.35 * nodeBytesPerSecond);
	}
});
