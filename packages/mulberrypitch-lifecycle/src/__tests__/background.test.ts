/** Tests that aborted waits for a notification don't accumulate in the set of waiters. */
import t from 'tap';
import {Notification} from '../background.js';

await t.test('an aborted wait is removed from the waiters', async t => {
	const notification = new Notification();
	const limit = new AbortController();
	const waits = [notification.wait(limit.signal), notification.wait()];
	t.equal(notification.waiting, 2);
	limit.abort();
	await waits[0];
	t.equal(notification.waiting, 1);
	notification.notify();
	await waits[1];
	t.equal(notification.waiting, 0);
});
