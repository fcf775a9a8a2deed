/** Tests that the bodies of requests take a limited amount of memory, however their senders cut them up. */
import type {IncomingMessage} from 'node:http';
import {PassThrough} from 'node:stream';
import {setImmediate as nextTurn} from 'node:timers/promises';
import t from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {BodyStore} from '../body-store.js';
import {defaultClientLimits} from '../client-limits.js';

const limitBytes = 10 * 16 * 1024;
const maxBodyBytes = 6 * 16 * 1024;
/** Size of a body of which the limit has room for two. */
const partBytes = 4 * 16 * 1024;

function createRequest(contentLength?: number): {readonly stream: PassThrough; readonly request: IncomingMessage} {
	const stream = new PassThrough();
	Object.assign(stream, {headers: contentLength === undefined ? {} : {'content-length': String(contentLength)}});
	return {stream, request: assumeType<IncomingMessage>(stream)};
}

// Guards against a body that arrives changed, since it is copied together from its parts.
await t.test('a body is read whole, whatever the sizes of its parts', async t => {
	const bodies = new BodyStore({...defaultClientLimits, maxBufferedBytes: limitBytes});
	const {stream, request} = createRequest();
	const stored = bodies.read(request, maxBodyBytes);
	const parts = ['a', '', 'bc', 'd'.repeat(40_000), 'e'];
	for (const part of parts) {
		stream.write(part);
	}

	stream.end();
	const result = await stored;
	t.equal(result.kind, 'whole');
	t.equal(result.kind === 'whole' && new TextDecoder().decode(result.body), parts.join(''));
	t.ok(bodies.heldBytes > 0 && bodies.heldBytes <= maxBodyBytes);
	bodies.release(request);
	bodies.release(request);
	t.equal(bodies.heldBytes, 0);
});

// Guards against bodies over the limit that are read on, or that stay in memory after their refusal.
await t.test('a body over its limit is refused by its announced length, or at the first byte beyond', async t => {
	const bodies = new BodyStore({...defaultClientLimits, maxBufferedBytes: limitBytes});
	t.same(await bodies.read(createRequest(maxBodyBytes + 1).request, maxBodyBytes), {kind: 'tooLong'});
	const {stream, request} = createRequest();
	const stored = bodies.read(request, maxBodyBytes);
	stream.write('a'.repeat(maxBodyBytes));
	stream.write('a');
	t.same(await stored, {kind: 'tooLong'});
	t.equal(bodies.heldBytes, 0);
});

// Guards against clients that fill the memory with bodies that stop short of their end, and against their keeping others out.
await t.test('where the bodies take too much, the one that began first is given up, and a later one is read', async t => {
	const bodies = new BodyStore({...defaultClientLimits, maxBufferedBytes: limitBytes});
	const stopping = [createRequest(), createRequest(), createRequest()];
	const results = stopping.map(async ({request}) => bodies.read(request, maxBodyBytes));
	for (const {stream} of stopping) {
		stream.write('a'.repeat(partBytes));
		await nextTurn();
	}

	const later = createRequest();
	const stored = bodies.read(later.request, maxBodyBytes);
	later.stream.end('b'.repeat(partBytes));
	const result = await stored;
	t.equal(result.kind, 'whole');
	t.ok(bodies.heldBytes <= limitBytes);
	t.same(await Promise.all(results.slice(0, 2)), [{kind: 'crowded'}, {kind: 'crowded'}]);
});

// Guards against whole bodies, which are in use, that are given up, and against a reader that waits for ever for room.
await t.test('a body that finds only whole ones in the memory is given up itself', async t => {
	const bodies = new BodyStore({...defaultClientLimits, maxBufferedBytes: limitBytes});
	const whole = createRequest();
	const stored = bodies.read(whole.request, maxBodyBytes);
	whole.stream.end('a'.repeat(maxBodyBytes));
	await stored;
	const {stream, request} = createRequest();
	const second = bodies.read(request, maxBodyBytes);
	stream.write('b'.repeat(maxBodyBytes));
	t.same(await second, {kind: 'crowded'});
	bodies.release(whole.request);
	t.equal(bodies.heldBytes, 0);
});

// Guards against memory that stays taken when a client leaves in the middle of a body, or when its request is refused for another reason.
await t.test('a body whose connection closes, or whose request ends, takes no memory any more', async t => {
	const bodies = new BodyStore({...defaultClientLimits, maxBufferedBytes: limitBytes});
	const left = createRequest();
	const reading = bodies.read(left.request, maxBodyBytes);
	left.stream.write('a'.repeat(2000));
	await nextTurn();
	left.stream.destroy();
	await t.rejects(reading);
	await t.rejects(bodies.read(left.request, maxBodyBytes), 'closed before');
	const late = createRequest();
	const ended = bodies.read(late.request, maxBodyBytes);
	late.stream.write('a'.repeat(2000));
	await nextTurn();
	bodies.release(late.request);
	late.stream.write('a'.repeat(2000));
	await nextTurn();
	t.same(await ended, {kind: 'crowded'});
	t.equal(bodies.heldBytes, 0);
});

// Guards against a process that a crowd keeps busy with bodies in very small parts, and against refusing a single body of that kind.
await t.test('of the bodies in very many small parts only some are read at once, and each of them whole', async t => {
	const bodies = new BodyStore({...defaultClientLimits, maxFragmentedBodies: 2});
	const senders = [createRequest(), createRequest(), createRequest()];
	const results = senders.map(async ({request}) => bodies.read(request, maxBodyBytes));
	for (const {stream} of senders) {
		for (let sent = 0; sent < 10_000; sent += 1) {
			stream.write('a');
		}

		await nextTurn();
	}

	for (const {stream} of senders) {
		stream.end();
	}

	const ends = await Promise.all(results);
	t.same(ends.map(({kind}) => kind), ['crowded', 'whole', 'whole']);
	t.ok(ends.every(result => result.kind !== 'whole' || result.body.length === 10_000));
});
