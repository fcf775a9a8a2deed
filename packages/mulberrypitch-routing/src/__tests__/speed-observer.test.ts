/** Tests how the speeds of back ends are learned from the times of their answers, on seeded times. */
import t from 'tap';
import {SeededRandom} from '@mulberrypitch/lifecycle/random';
import {addEvidence, estimateSpeeds, type Speeds} from '../speed-estimate.js';
import {SpeedObserver} from '../speed-observer.js';

const backendCount = 12;
const observerCount = 16;
const requestsPerSecond = 60;
const backends = Array.from({length: backendCount}, (_, index) => `engine-${index}`);

type Fleet = {
	readonly speeds: readonly number[];
	readonly seed?: number;
	/** Whether a faster back end has more work, as it does once its speed is used. */
	readonly isBalanced?: boolean;
};

/** Observers that see the answers of back ends in turn, and what they learn together. */
class ObservedFleet {
	now = 0;
	speeds: readonly number[];
	learned: Speeds = {};
	readonly #random: SeededRandom;
	readonly #isBalanced: boolean;
	readonly #observers = Array.from({length: observerCount}, () => new SpeedObserver({now: () => this.now, getSpeed: id => this.learned[id] ?? 1}));

	constructor({speeds, seed = 1, isBalanced = false}: Fleet) {
		this.speeds = speeds;
		this.#random = new SeededRandom(seed);
		this.#isBalanced = isBalanced;
	}

	run(seconds: number): void {
		for (let second = 0; second < seconds; second += 1) {
			for (let request = 0; request < requestsPerSecond; request += 1) {
				this.now += 1000 / requestsPerSecond;
				this.#answer(Math.floor(this.#random.next() * backendCount));
			}

			this.learn();
		}
	}

	learn(): void {
		this.learned = estimateSpeeds(addEvidence(this.#observers.map(observer => observer.getEvidence())));
	}

	#answer(index: number): void {
		const speed = this.speeds[index % this.speeds.length]!;
		const work = (500 + (20_000 * (this.#random.next() ** 4))) * (this.#isBalanced ? speed : 1);
		const noise = Math.exp(1.2 * (this.#random.next() + this.#random.next() - 1));
		this.#observers[Math.floor(this.#random.next() * observerCount)]!.record({
			backend: backends[index]!, group: 'first event', work, ms: (60 + (work / 40)) * noise / speed,
		});
	}
}

function getSpeed(fleet: ObservedFleet, index: number): number {
	return fleet.learned[backends[index]!] ?? 1;
}

// Guards against prompts of different sizes, and loads in proportion to the speed, that hide the speed.
await t.test('back ends of unequal speed: the speeds are learned from few answers at each of many observers', async t => {
	for (const isBalanced of [false, true]) {
		const fleet = new ObservedFleet({speeds: [0.7, 0.7, 1.7], isBalanced});
		fleet.run(60);
		for (const [index, speed] of [0.7, 0.7, 1.7].entries()) {
			const mean = [0, 3, 6, 9].reduce((sum, first) => sum + getSpeed(fleet, first + index), 0) / 4;
			t.comment(`speed ${speed}: learned ${mean.toFixed(2)}`);
			t.ok(mean / speed > 0.75 && mean / speed < 1.3, `${speed}, balanced: ${isBalanced}`);
		}
	}
});

// Guards against chance differences that move requests away from back ends that are all alike.
await t.test('back ends of equal speed: all keep the speed one', async t => {
	let differing = 0;
	for (let seed = 1; seed <= 10; seed += 1) {
		const fleet = new ObservedFleet({speeds: [1], seed});
		fleet.run(30);
		differing += Object.keys(fleet.learned).length;
	}

	t.comment(`${differing} of ${10 * backendCount} differ`);
	t.ok(differing <= 2);
});

await t.test('a back end that is slow for a while: it is known within seconds, and forgotten within some ten seconds after', async t => {
	const fleet = new ObservedFleet({speeds: [1]});
	fleet.run(30);
	fleet.speeds = [0.4, ...Array.from({length: backendCount - 1}, () => 1)];
	fleet.run(8);
	t.ok(getSpeed(fleet, 0) < 0.75, `${getSpeed(fleet, 0)} after 8 s`);
	fleet.speeds = [1];
	fleet.run(15);
	t.ok(getSpeed(fleet, 0) > 0.85, `${getSpeed(fleet, 0)} after 15 s more`);
});

await t.test('a back end that is seen no longer counts as any other again', async t => {
	const fleet = new ObservedFleet({speeds: [0.5, 1, 1, 1, 1, 1]});
	fleet.run(30);
	t.ok(getSpeed(fleet, 0) < 0.8);
	fleet.now += 100_000;
	fleet.learn();
	t.equal(getSpeed(fleet, 0), 1);
});

await t.test('one back end alone has nothing to be compared with', async t => {
	t.same(estimateSpeeds({'engine-1': [500, 300]}), {});
});

// Guards against an observer that grows as long as its process runs, since routes and back ends come and go.
await t.test('what is known of routes and back ends that are gone is dropped', async t => {
	let now = 0;
	const observer = new SpeedObserver({now: () => now, getSpeed: () => 1});
	let largest = 0;
	for (let minute = 0; minute < 60; minute += 1) {
		for (let sample = 0; sample < 30; sample += 1) {
			now += 2000;
			observer.record({
				backend: `engine-${minute}`, group: `route ${minute}`, work: sample, ms: 100,
			});
			observer.record({
				backend: `engine-${minute}`, group: 'lasting route', work: sample, ms: 100,
			});
			observer.getEvidence();
		}

		largest = Math.max(largest, observer.size);
	}

	t.comment(`at most ${largest} sums`);
	t.ok(largest <= 16, `${largest}`);
	now += 400_000;
	observer.getEvidence();
	t.equal(observer.size, 0);
});
