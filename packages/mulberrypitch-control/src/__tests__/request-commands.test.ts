/** Rejected commands that would contradict what a request's attempts may have done. */
import t from 'tap';
import {codes} from '@mulberrypitch/errors/catalogue';
import type {Command} from '../commands.js';
import {ControlState} from '../control-state.js';

await t.test('rejects "not run" for a request that may have run, and continues to apply commands', t => {
	const state = new ControlState();
	let index = 0;
	const apply = (command: Command) => {
		index += 1;
		return state.apply({
			index, term: 1, time: index, command,
		}).result;
	};

	apply({
		kind: 'openSession', node: 'h', incarnation: 'i', peerAddress: 'a', publicAddress: 'b', zone: 'z', region: 'r', site: 's',
	});
	apply({
		kind: 'acceptRequest', requestId: 'r', customer: 'c', service: 's', digest: 'd', fingerprint: 'f', isIdempotent: false, holder: 'h', holderEpoch: 1, entryTime: 0,
	});
	apply({
		kind: 'recordIntent', requestId: 'r', epoch: 1, attempt: 1, backend: 'b', entryTime: 0,
	});
	const finish = (end: 'notRun' | 'unknown') => apply({
		kind: 'finishRequest', requestId: 'r', epoch: 1, entryTime: 0, outcome: {end, digest: '', lengthBytes: 0},
	});
	t.match(finish('notRun'), {failure: {code: codes.conflict}});
	t.equal(state.getRequest('r')!.outcome, undefined);
	t.match(finish('unknown'), {value: {outcome: {end: 'unknown'}}});
	t.end();
});
