/** Tests what a back end reads from the head of a request, whatever letters the names in it have. */
import {Buffer} from 'node:buffer';
import net from 'node:net';
import fc from 'fast-check';
import t, {type Test} from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {isHeaderText} from '@mulberrypitch/lifecycle/header-text';
import {createForwardedHead, createRequestHead, type CallerHead} from '../request-head.js';
import type {HeaderNames} from '../types.js';
import {listen, openConnection} from './loopback.js';

const names = assumeType<HeaderNames>({
	deadline: 'deadline', expectedBackend: 'backend', workspace: 'workspace', backendPriority: 'priority', lastEventId: 'last-event-id', hop: 'hop', reserved: [],
});
const caller: CallerHead = {method: 'GET', path: '/a/b', headers: [{name: 'X-Of-Caller', value: 'caf\u00E9 \u00C5\u0081'}]};
const fields = {
	backendId: 'i-1', deadlineMs: 800, workspace: 'w', backendPriority: 2, lastEventId: undefined, bodyLength: 0, dropsKey: true,
};
/** Names with letters that no byte has, whose low bytes are a line break, and that Latin-1 has. */
const letters = ['Łódź Print', 'Škoda Łuk', 'Račun', 'Ċentru', 'Zürich', 'Ã¼', '株式会社', 'ink 🖨'];
const ignore = () => {
	// Nothing responds.
};

/** Sends a head on a connection and returns the bytes that arrive. */
async function send(t: Test, head: string): Promise<Uint8Array> {
	const arrived = new Promise<Uint8Array>(resolve => {
		void (async () => {
			const port = await listen(t, net.createServer(socket => {
				socket.on('error', ignore);
				socket.once('data', resolve);
			}));
			const connection = await openConnection(`127.0.0.1:${port}`);
			t.teardown(() => {
				connection.destroy();
			});
			connection.send(head, undefined, {
				attemptId: undefined, isHead: false, onHead: ignore, onBody: ignore, onEnd: ignore, onFailed: ignore,
			});
		})();
	});
	return arrived;
}

/** Returns the bytes of the value of the only header of a name. Fails when a line of the head is no header. */
function readHeader(t: Test, head: Uint8Array, name: string): Uint8Array {
	const lines = Buffer.from(head).toString('latin1').split('\r\n').slice(1, -2);
	t.ok(lines.every(line => /^[\-\w]+: .*$/v.test(line)), 'each line of the head is a header');
	const values = lines.filter(line => line.startsWith(`${name}: `)).map(line => line.slice(name.length + 2));
	t.equal(values.length, 1);
	return Buffer.from(values[0]!, 'latin1');
}

for (const name of letters) {
	// Guards against requests that run under the name of another workspace, or that break apart in the middle of their head.
	await t.test(`a back end reads the workspace ${name} in UTF-8`, async t => {
		const head = await send(t, createRequestHead(caller, {...fields, workspace: name}, names));
		t.equal(Buffer.from(readHeader(t, head, 'workspace')).toString(), name);
	});

	// Guards against a back end that gets no request at all, since the identifier that each request expects isn't its own.
	await t.test(`the back end ${name} reads its own identifier in UTF-8`, async t => {
		const head = await send(t, createRequestHead(caller, {...fields, backendId: name}, names));
		t.equal(Buffer.from(readHeader(t, head, 'backend')).toString(), name);
	});
}

// Guards against two workspaces that a back end can't tell apart, and against a name that adds a header of its own.
await t.test('each name that a header can carry arrives unchanged, in one header', async t => {
	fc.assert(fc.property(fc.string({unit: 'binary', minLength: 1}).filter(text => isHeaderText(text)), name => {
		const head = Buffer.from(createRequestHead(caller, {...fields, workspace: name}, names), 'latin1');
		t.equal(Buffer.from(readHeader(t, head, 'workspace')).toString(), name);
	}), {numRuns: 500, seed: 64});
});

// Guards against a name with a line break that gets past the checks of the configuration and smuggles headers to a back end.
await t.test('a head with a name that no header can carry is not written', async t => {
	for (const name of ['a\r\nmodel: b', 'a\nb', 'a\u0000', ' a', 'a\t', '\uD800']) {
		t.throws(() => createRequestHead(caller, {...fields, workspace: name}, names), {code: 'invariant'}, JSON.stringify(name));
		t.throws(() => createRequestHead(caller, {...fields, backendId: name}, names), {code: 'invariant'}, JSON.stringify(name));
	}
});

// Guards against a change that encodes what came in bytes a second time.
await t.test('the headers of the caller and the identifier of an event arrive byte for byte', async t => {
	const direct = await send(t, createRequestHead(caller, {...fields, lastEventId: '7\u00C5\u0081'}, names));
	t.equal(Buffer.from(readHeader(t, direct, 'last-event-id')).toString('latin1'), '7\u00C5\u0081');
	const passedOn = await send(t, createForwardedHead(caller, {deadlineMs: 800, bodyLength: 0}, names));
	for (const head of [direct, passedOn]) {
		t.equal(Buffer.from(readHeader(t, head, 'X-Of-Caller')).toString('latin1'), caller.headers[0]!.value);
	}
});
