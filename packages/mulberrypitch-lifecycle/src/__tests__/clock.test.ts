/** Tests that aborted and completed sleeps on the system clock don't leave listeners on their signal. */
import {getEventListeners} from 'node:events';
import t from 'tap';
import {SystemClock} from '../clock.js';

const longMs = 60_000;

await t.test('a sleep ends at once when its signal aborts, before or during it', async t => {
	const clock = new SystemClock();
	const controller = new AbortController();
	const sleeping = clock.sleep(longMs, controller.signal);
	t.equal(getEventListeners(controller.signal, 'abort').length, 1);
	controller.abort();
	await sleeping;
	t.equal(getEventListeners(controller.signal, 'abort').length, 0);
	await clock.sleep(longMs, controller.signal);
});

await t.test('a completed sleep leaves no listener', async t => {
	const controller = new AbortController();
	await new SystemClock().sleep(-1, controller.signal);
	t.equal(getEventListeners(controller.signal, 'abort').length, 0);
});
