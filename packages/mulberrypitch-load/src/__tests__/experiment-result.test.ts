/** Tests what the measurements of a run count. */
import t from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {ResultRecorder} from '../experiment-result.js';
import type {Arrival} from '../workload.js';

const warmUpMs = 1000;

function createArrival(at: number): Arrival {
	return assumeType<Arrival>({at, entry: 'entry-1', prefix: 'p'});
}

// Guards against shares of retries and of changed back ends that the warm-up, with its empty caches, decides.
await t.test('dispatches of the warm-up are not counted, but are what later ones are compared with', async t => {
	const recorder = new ResultRecorder(warmUpMs);
	recorder.addDispatch(createArrival(0), 'engine-1', false);
	recorder.addDispatch(createArrival(500), 'engine-2', true);
	recorder.addDispatch(createArrival(1000), 'engine-1', true);
	recorder.addDispatch(createArrival(1500), 'engine-1', false);
	const {dispatches, retries, flapPart} = recorder.getResult({
		arm: 'a', load: 1, seed: 1, measuredMs: 1000,
	});
	t.match({dispatches, retries, flapPart}, {dispatches: 2, retries: 1, flapPart: 0.5});
});
