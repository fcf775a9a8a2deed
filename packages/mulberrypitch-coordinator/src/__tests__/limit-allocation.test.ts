/** Tests how the limits of back ends are divided among entries. */
import t from 'tap';
import {allocateLimit, getNewestLimits} from '../limit-allocation.js';

const backend = 'engine-1';
const startedAt = 1;

// Guards against entries that together have more than the limit, or could send more at one moment than a short burst.
await t.test('the parts of a limit add up to one, and few entries have a part of a low limit', async t => {
	for (const requestsPerSecond of [0, 0.5, 2.2, 10, 1000]) {
		for (const count of [1, 8, 91, 400]) {
			const entries = Array.from({length: count}, (_, index) => `front-${index}`);
			const parts = entries.map(entry => allocateLimit({
				backend, startedAt, requestsPerSecond, ageMs: 0,
			}, entry, entries).part);
			const withPart = parts.filter(part => part > 0).length;
			t.ok(Math.abs(parts.reduce((sum, part) => sum + part, 0) - 1) < 1e-9, `${requestsPerSecond} a second, ${count} entries`);
			t.ok(withPart <= (2 * requestsPerSecond) + 4, `${withPart} entries have a part of ${requestsPerSecond}`);
		}
	}
});

// Guards against a statement that an older one of another entry replaces.
await t.test('the newest statement of an incarnation holds, and of two at one time the one with a limit', async t => {
	const limits = getNewestLimits([
		{
			backend, startedAt, requestsPerSecond: 2, ageMs: 500,
		},
		{backend, startedAt, ageMs: 100},
		{backend, startedAt: 2, ageMs: 100},
		{
			backend, startedAt: 2, requestsPerSecond: 3, ageMs: 100,
		},
	]);
	t.same(limits, [{backend, startedAt, ageMs: 100}, {
		backend, startedAt: 2, requestsPerSecond: 3, ageMs: 100,
	}]);
});
