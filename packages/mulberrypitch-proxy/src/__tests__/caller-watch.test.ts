/** Tests that an entry notices callers who leave. */
import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import t from 'tap';
import {watchCaller} from '../caller-watch.js';

function createResponse(): ServerResponse {
	return new ServerResponse(new IncomingMessage(new Socket()));
}

// Guards against a request that goes on to another entry although its caller left while it was read.
await t.test('a caller who has left before is noticed at once', async t => {
	const response = createResponse();
	response.destroy();
	t.ok(watchCaller(response).aborted);
});

await t.test('a caller who leaves later is noticed', async t => {
	const response = createResponse();
	const signal = watchCaller(response);
	t.notOk(signal.aborted);
	response.emit('close');
	t.ok(signal.aborted);
});
