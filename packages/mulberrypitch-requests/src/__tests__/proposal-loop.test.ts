/** Tests which failures of the control group make a command be proposed again. */
import t from 'tap';
import {
	BadRequestError, ConflictError, PeerUnreachableError, ProtocolError, StaleEpochError, StorageError, TimeoutError,
} from '@mulberrypitch/errors/catalogue';
import type {CodedError} from '@mulberrypitch/errors/coded-error';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {ProposalLoop, type ProposalLoopOptions} from '../proposal-loop.js';

const command = {
	kind: 'transferRequest', requestId: 'request-1', epoch: 1, holder: 'host-2',
} as const;
const limitMs = 1000;

/** Proposes one command to a control group that fails once with each of the errors, in order. */
async function proposeThrough(failures: readonly CodedError[], signal = new AbortController().signal) {
	const clock = new VirtualClock();
	const left = [...failures];
	const control = assumeType<ProposalLoopOptions['control']>({
		async propose() {
			const failure = left.shift();
			if (failure !== undefined) {
				throw failure;
			}

			return {requestId: command.requestId};
		},
	});
	const loop = new ProposalLoop({
		requestId: command.requestId, control, clock, signal,
	});
	const result = loop.propose(command);
	await Promise.all([result.catch(() => undefined), clock.runFor(limitMs)]);
	return result;
}

await t.test('a command is retried when the leader is starting, stopping or has a failing disk', async t => {
	for (const failure of [new ProtocolError('Method not found'), new StorageError('No space left.'), new PeerUnreachableError('host-1'), new TimeoutError('propose', 1)]) {
		const {requestId} = await proposeThrough([failure]);
		t.equal(requestId, command.requestId, failure.name);
	}
});

await t.test('a command that the group refuses is not proposed again', async t => {
	for (const failure of [new StaleEpochError('Another host holds it.'), new ConflictError('It has ended.', 'Read its outcome.', {}), new BadRequestError('Not a command.')]) {
		await t.rejects(proposeThrough([failure]), {code: failure.code});
	}
});

await t.test('an abandoned request proposes nothing more', async t => {
	const abandonment = new AbortController();
	abandonment.abort();
	await t.rejects(proposeThrough([new ProtocolError('Method not found')], abandonment.signal), {code: 'stale_epoch'});
});
