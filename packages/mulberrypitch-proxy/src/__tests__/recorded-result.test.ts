/** Tests what the outlier detection of back ends makes of the outcomes of attempts. */
import t from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {SeededRandom} from '@mulberrypitch/lifecycle/random';
import {KnownBackend, type KnownBackendOptions} from '../known-backend.js';
import {recordResult} from '../recorded-result.js';

/** Number of failures in a row after which a back end is ejected. */
const failuresInRow = 3;

// Guards against a back end that answers nothing and keeps getting requests, since the callers who give up count as successes.
await t.test('a back end that answers none of its requests is ejected however many callers give up meanwhile', async t => {
	const backend = new KnownBackend(assumeType<KnownBackend['announced']>({id: 'engine-1', startedAt: 1, isLeaving: false}), assumeType<KnownBackendOptions>({
		clock: new VirtualClock(), random: new SeededRandom(1), getEntryCount: () => 1,
	}));
	for (let failures = 1; failures <= failuresInRow; failures += 1) {
		recordResult(backend, {kind: 'abandoned'});
		t.notOk(backend.isEjected);
		recordResult(backend, {kind: 'timeout', hasStarted: false});
	}

	t.ok(backend.isEjected);
});
