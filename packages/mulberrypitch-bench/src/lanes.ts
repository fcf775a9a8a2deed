/** Runs concurrent load in a fixed number of lanes. */

/**
Runs a step repeatedly in a number of concurrent lanes for the given duration, and returns all results. Each lane starts
its next step when its previous one has ended (a closed-loop load).

@example
```
const steps = await runLanes(8, 5000, async () => step());
```
*/
export async function runLanes<Result>(lanes: number, durationMs: number, step: (position: number) => Promise<Result>): Promise<Result[]> {
	const end = performance.now() + durationMs;
	const results: Result[] = [];
	let position = 0;
	const runLane = async () => {
		while (performance.now() < end) {
			position += 1;
			results.push(await step(position));
		}
	};

	await Promise.all(Array.from({length: lanes}, runLane));
	return results;
}
