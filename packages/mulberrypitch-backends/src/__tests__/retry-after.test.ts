/** Tests which answers ask for a pause. */
import t from 'tap';
import {getPauseMs} from '../retry-after.js';

// Guards against a pause that no back end can mean, and against one that is not read.
await t.test('only a number of seconds up to an hour, of an answer that turns a call away, is a pause', async t => {
	const read = (statusCode: number, text?: string) => getPauseMs({statusCode, headers: {...(text !== undefined && {'retry-after': text})}});
	t.equal(read(503, '2.5'), 2500);
	t.equal(read(429, ' 3 '), 3000);
	t.equal(read(500, '2'), undefined);
	t.equal(read(503), undefined);
	for (const text of ['-1', 'soon', 'Wed, 21 Oct 2026 07:28:00 GMT', '3601', '1e3', '']) {
		t.equal(read(503, text), undefined, text);
	}
});
