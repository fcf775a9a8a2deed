/** An event queue on virtual time, for emulations with too many events for a clock that returns promises. */

type Event = {
	readonly at: number;
	/** Position in the order of addition: events with the same time run in this order. */
	readonly number: number;
	readonly run: () => void;
};

/**
A binary heap of events that runs them in the order of their times.

@example
```
queue.add(5, () => { engine.step(); });
queue.runUntil(1000);
```
*/
export class EventQueue {
	readonly #heap: Event[] = [];
	#now = 0;
	#addedCount = 0;

	/** Virtual time in milliseconds. */
	get now(): number {
		return this.#now;
	}

	/** Schedules an event after a delay in milliseconds. */
	add(delayMs: number, run: () => void): void {
		this.#addedCount += 1;
		this.#heap.push({at: this.#now + delayMs, number: this.#addedCount, run});
		this.#siftUp(this.#heap.length - 1);
	}

	/** Runs all events up to and including a time in milliseconds, at which the clock then stands. */
	runUntil(endMs: number): void {
		while (this.#heap.length > 0 && this.#heap[0]!.at <= endMs) {
			const event = this.#removeFirst();
			this.#now = event.at;
			event.run();
		}

		this.#now = endMs;
	}

	#removeFirst(): Event {
		const first = this.#heap[0]!;
		const last = this.#heap.pop()!;
		if (this.#heap.length > 0) {
			this.#heap[0] = last;
			this.#siftDown();
		}

		return first;
	}

	#siftUp(start: number): void {
		let index = start;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!this.#isBefore(index, parent)) {
				return;
			}

			this.#swap(index, parent);
			index = parent;
		}
	}

	#siftDown(): void {
		let index = 0;
		for (;;) {
			const left = (2 * index) + 1;
			const least = left + 1 < this.#heap.length && this.#isBefore(left + 1, left) ? left + 1 : left;
			if (least >= this.#heap.length || !this.#isBefore(least, index)) {
				return;
			}

			this.#swap(index, least);
			index = least;
		}
	}

	#isBefore(left: number, right: number): boolean {
		const first = this.#heap[left]!;
		const second = this.#heap[right]!;
		return first.at < second.at || (first.at === second.at && first.number < second.number);
	}

	#swap(left: number, right: number): void {
		[this.#heap[left], this.#heap[right]] = [this.#heap[right]!, this.#heap[left]!];
	}
}
