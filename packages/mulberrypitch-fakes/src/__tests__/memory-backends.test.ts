/** Tests the emulated back ends where they must not be kinder than real ones. */
import t from 'tap';
import {SeededRandom} from '@mulberrypitch/lifecycle/random';
import {MemoryBackends} from '../memory-backends.js';
import {VirtualClock} from '../virtual-clock.js';

// Guards against tests that pass because a KV cache counts as moved although its transfer was aborted.
await t.test('a transfer of a KV cache that is aborted imports nothing', async t => {
	const clock = new VirtualClock();
	const backends = new MemoryBackends({
		clock, random: new SeededRandom(1), firstTokenMs: 1, tokenMs: 1, answerMs: 1, transferMs: 10,
	});
	backends.start('a');
	backends.start('b');
	const abort = new AbortController();
	const importing = backends.importCache({requestId: 'r', address: 'b', signal: abort.signal}, {handle: 'r', source: 'a', tokens: 100});
	const rejected = t.rejects(importing, {code: 'backend_failed'});
	await clock.runFor(5);
	abort.abort();
	await clock.runFor(2000);
	await rejected;
});
