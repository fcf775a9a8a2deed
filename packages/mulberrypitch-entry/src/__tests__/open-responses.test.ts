/** Tests for which answers a planned stop waits, with connections over the loopback address and virtual time. */
import http, {type ServerResponse} from 'node:http';
import net from 'node:net';
import t, {type Test} from 'tap';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {Deferred} from '@mulberrypitch/lifecycle/background';
import {listenOn} from '@mulberrypitch/lifecycle/listen';
import {OpenResponses} from '../open-responses.js';

/** More bytes than the buffers of a loopback connection hold. */
const largeAnswerBytes = 64 * 1024 * 1024;
const minuteMs = 60_000;

/** Opens a response whose caller receives nothing before its connection is resumed. */
async function openResponse(t: Test) {
	const opened = new Deferred<ServerResponse>();
	const server = http.createServer((_request, response) => {
		opened.resolve(response);
	});
	const caller = net.connect(await listenOn(server, '127.0.0.1', 0), '127.0.0.1');
	t.teardown(() => {
		caller.destroy();
		server.close();
	});
	caller.pause();
	caller.write('GET / HTTP/1.1\r\nhost: 127.0.0.1\r\n\r\n');
	const clock = new VirtualClock();
	const responses = new OpenResponses(clock);
	const response = await opened.promise;
	responses.add(response);
	return {
		clock, responses, response, caller,
	};
}

// Guards against a stop that closes the connection of a caller who waits for the next part of an answer, or who has still to receive the last one.
await t.test('an answer counts while it waits for its next part, and until its last part was sent', async t => {
	const {clock, responses, response, caller} = await openResponse(t);
	await clock.runFor(minuteMs);
	t.equal(responses.countReceiving(), 1);
	response.end(new Uint8Array(largeAnswerBytes));
	t.equal(responses.countReceiving(), 1);
	const closed = new Promise(resolve => {
		response.once('close', resolve);
	});
	caller.resume();
	await closed;
	t.equal(responses.countReceiving(), 0);
});

// Guards against a stop that never ends since a caller receives nothing but keeps its connection.
await t.test('a caller who receives nothing is no longer waited for', async t => {
	const {clock, responses, response} = await openResponse(t);
	response.end(new Uint8Array(largeAnswerBytes));
	t.equal(responses.countReceiving(), 1);
	while (responses.countReceiving() > 0) {
		await clock.runFor(minuteMs);
	}

	t.notOk(response.req.socket.destroyed);
});

// Guards against a stop that waits for answers whose caller has closed the connection.
await t.test('an answer whose caller has closed the connection does not count', async t => {
	const {responses, response, caller} = await openResponse(t);
	const closed = new Promise(resolve => {
		response.once('close', resolve);
	});
	caller.destroy();
	await closed;
	t.equal(responses.countReceiving(), 0);
});

// Guards against responses that are kept in memory for ever, since their caller closed the connection before their request was accepted.
await t.test('an answer whose caller has closed the connection before is not tracked', async t => {
	const {responses, response, caller, clock} = await openResponse(t);
	const closed = new Promise(resolve => {
		response.once('close', resolve);
	});
	caller.destroy();
	await closed;
	t.equal(responses.size, 0);
	responses.add(response);
	await clock.runFor(minuteMs);
	t.equal(responses.size, 0);
});
