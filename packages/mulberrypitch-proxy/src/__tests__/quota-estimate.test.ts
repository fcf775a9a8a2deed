/** Tests what entries estimate of a quota against what is truly left of it, with reports of each other's spending that come late. */
import t, {type Test} from 'tap';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import type {Workspace} from '@mulberrypitch/serving/types';
import {WorkspaceQuotas} from '../workspace-quotas.js';

const workspace: Workspace = {
	name: 'w', keys: ['k'], countsTokens: true, plainTokens: 200, ratePerSecond: 165_000, burst: 165_000,
};
const tolerance = {part: 0.1, units: 140_000, windowMs: 8000};
const stepMs = 10;
const reportIntervalMs = 100;
/** Units of a claim, and the share of claims within the quota that may be refused. */
const claimUnits = 12_000;
const maxRefusedShare = 1 / 200;

/** The quota as it would be with one counter for all entries. */
class TrueQuota {
	level = workspace.burst;

	pass(ms: number): void {
		this.level = Math.min(workspace.burst, this.level + (workspace.ratePerSecond * ms / 1000));
	}
}

type Demand = {
	/** Returns the units that are claimed a second at a time in milliseconds, over all entries. */
	readonly getRate: (ms: number) => number;
	readonly entryCount: number;
	/** Time from which on refusals count, in milliseconds. */
	readonly countsFromMs: number;
	readonly durationMs: number;
};

/** Claims units at random entries. Returns how many claims were within the quota, and how many of these were refused. */
async function run({getRate, entryCount, countsFromMs, durationMs}: Demand): Promise<{readonly within: number; readonly refused: number}> {
	const clock = new VirtualClock();
	const entries = Array.from({length: entryCount}, () => new WorkspaceQuotas({
		clock, getEntryCount: () => entryCount, isInTouch: () => true, tolerance,
	}));
	for (const quotas of entries) {
		quotas.createBuckets([workspace]);
	}

	const truth = new TrueQuota();
	let owed = 0;
	let next = 0;
	let within = 0;
	let refused = 0;
	for (let ms = 0; ms < durationMs; ms += stepMs) {
		for (owed += getRate(ms) * stepMs / 1000; owed >= claimUnits; owed -= claimUnits) {
			const isTaken = entries[next % entryCount]!.take(workspace, {units: claimUnits, isUrgent: true}) === 0;
			next += 1;
			const isWithin = truth.level >= claimUnits;
			if (isWithin && ms >= countsFromMs) {
				within += 1;
				refused += isTaken ? 0 : 1;
			}

			truth.level -= isTaken ? claimUnits : 0;
		}

		if (ms % reportIntervalMs === 0) {
			report(entries);
		}

		await clock.runFor(stepMs);
		truth.pass(stepMs);
	}

	return {within, refused};
}

function report(entries: readonly WorkspaceQuotas[]): void {
	const spent = entries.map(entry => entry.getSpent().w ?? 0);
	const total = spent.reduce((sum, units) => sum + units, 0);
	for (const [index, entry] of entries.entries()) {
		entry.updateOthersSpent({w: total - spent[index]!});
	}
}

async function check(t: Test, demand: Demand): Promise<void> {
	const {within, refused} = await run(demand);
	t.ok(within > 0);
	t.ok(refused <= within * maxRefusedShare, `${refused} of ${within} claims within the quota were refused`);
}

for (const entryCount of [8, 90]) {
	// Guards against a burst that is subtracted again, because others are expected to go on with it: what is left of the quota is refused.
	await t.test(`after a burst that ended, claims within the quota are admitted, ${entryCount} entries`, async t => {
		const [beginMs, burstMs] = [4000, 60];
		await check(t, {
			entryCount,
			countsFromMs: beginMs + burstMs + reportIntervalMs,
			durationMs: beginMs + 1500,
			// The burst takes seven tenths of what a full quota holds at once; what comes after it leaves the rest.
			getRate: ms => ms >= beginMs && ms < beginMs + burstMs ? 0.7 * workspace.burst * 1000 / burstMs : 0.7 * workspace.ratePerSecond * (ms < beginMs ? 0.2 : 1),
		});
	});

	// Guards against a steady demand just below the quota that is refused since estimates of others' spending swing.
	await t.test(`a steady demand below the quota is admitted, ${entryCount} entries`, async t => {
		await check(t, {
			entryCount, countsFromMs: 4000, durationMs: 20_000, getRate: () => 0.8 * workspace.ratePerSecond,
		});
	});
}
