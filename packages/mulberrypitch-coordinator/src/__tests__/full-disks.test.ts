/** Tests that changes are accepted again once disks that were full have room, one after another, and that none that was acknowledged is lost. */
import t from 'tap';
import {getRandomBetween, SeededRandom, type Random} from '@mulberrypitch/lifecycle/random';
import {CoordinatorGroup} from './coordinator-group.js';

const names = ['a', 'b', 'c'];
const seedCount = 10;
const fillCount = 9;
/** Time in milliseconds after which the platform starts a process again that has ended. */
const restartMs = 300;
/** Time in milliseconds between two changes. */
const changeIntervalMs = 200;
/** Time in milliseconds after the last disk has room by which changes must be accepted through every coordinator. */
const recoveryMs = 4000;

/** Coordinators whose platform starts them again when they end, and an operator that goes on changing the configuration. */
class OperatedGroup {
	readonly group = new CoordinatorGroup();
	/** Highest version that was acknowledged. */
	acknowledged = 0;
	#version = 0;
	#handledRestarts = 0;
	#isEnded = false;

	/** Starts the coordinators and the tasks that go on beside the test. */
	async start(): Promise<void> {
		await this.group.startAll();
		this.#version = 1;
		await this.group.put(1, names);
		this.acknowledged = 1;
		void this.#restartEnded();
		void this.#change();
	}

	/** Ends the tasks. */
	end(): void {
		this.#isEnded = true;
	}

	/** Sends the next change to a coordinator. Resolves with whether it was acknowledged. */
	async put(name: string): Promise<boolean> {
		this.#version += 1;
		const version = this.#version;
		try {
			await this.group.get(name).putConfiguration(JSON.stringify({version, note: 'a'.repeat(2000)}));
		} catch {
			return false;
		}

		this.acknowledged = Math.max(this.acknowledged, version);
		return true;
	}

	async #change(): Promise<void> {
		for (let count = 0; !this.#isEnded; count += 1) {
			await this.group.clock.sleep(changeIntervalMs);
			void this.put(names[count % names.length]!);
		}
	}

	async #restartEnded(): Promise<void> {
		while (!this.#isEnded) {
			await this.group.clock.sleep(restartMs);
			const ended = this.group.restarts.slice(this.#handledRestarts);
			this.#handledRestarts = this.group.restarts.length;
			for (const name of ended) {
				this.group.kill(name);
				await this.group.start(name);
			}
		}
	}
}

/** Fills the disks in turn, never two at once. */
async function fillInTurn({group}: OperatedGroup, random: Random): Promise<void> {
	for (let count = 0; count < fillCount; count += 1) {
		const name = names[count % names.length]!;
		group.setFull(name, true);
		await group.clock.runFor(getRandomBetween(random, 300, 4000));
		group.setFull(name, false);
		await group.clock.runFor(getRandomBetween(random, 10, 1000));
	}
}

// Guards against changes that are refused to the end although every disk has room again and every process runs.
await t.test('changes are accepted through every coordinator after the disks of all were full in turn', async t => {
	for (let seed = 1; seed <= seedCount; seed += 1) {
		const operated = new OperatedGroup();
		const {group} = operated;
		await operated.start();
		await fillInTurn(operated, new SeededRandom(seed));
		await group.clock.runFor(recoveryMs);
		operated.end();
		await group.clock.runFor(2 * changeIntervalMs);
		for (const name of names) {
			const put = await group.settle(operated.put(name));
			t.equal(put?.value, true, `seed ${seed}: a change through ${name}`);
			const version = await group.read(name);
			t.ok(version !== undefined && version >= operated.acknowledged, `seed ${seed}: read back through ${name}`);
		}

		await group.dispose();
	}
});
