/** Tests what an entry remembers of back ends that its coordinators no longer list. */
import t from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {SeededRandom} from '@mulberrypitch/lifecycle/random';
import type {RosterChanges} from '@mulberrypitch/serving/backend-roster';
import {BackendView} from '../backend-view.js';
import type {KnownBackendOptions} from '../known-backend.js';

const silenceMs = 90_000;
const service = 's';

type Listing = {
	readonly id?: string;
	readonly startedAt?: number;
	readonly isLeaving?: boolean;
	readonly isGone?: boolean;
	readonly isSilent?: boolean;
};

function createView() {
	const clock = new VirtualClock();
	const view = new BackendView(clock, () => assumeType<KnownBackendOptions>({
		clock, random: new SeededRandom(1), getEntryCount: () => 1, getMaxConnections: () => 1,
	}));
	const apply = ({id = 'a', startedAt = 1, isLeaving = false, isGone = false, isSilent = false}: Listing) => {
		view.apply(assumeType<RosterChanges>({
			epoch: 'e', version: 1, isWhole: false, isSettled: true, entries: [{
				backend: {
					id, service, startedAt, isLeaving,
				}, isGone, isSilent, ageMs: 0,
			}],
		}));
	};

	return {clock, view, apply};
}

// Guards against a back end that left and is used again, after the coordinators had it as silent for a while and forgot the leave.
await t.test('a back end that left, and was not listed for a while, does not return to service', async t => {
	const {clock, view, apply} = createView();
	apply({isLeaving: true});
	apply({isGone: true});
	await clock.runFor(silenceMs);
	apply({});
	t.equal(view.getCandidates(service, () => true).length, 0);
	t.strictSame(view.getLeaves(), [{backend: 'a', startedAt: 1}]);
	apply({isGone: true});
	apply({});
	t.equal(view.getCandidates(service, () => true).length, 0, 'nor after a second silence');
});

// Guards against a memory of leaves that outlasts the incarnation it belongs to, or that grows without end.
await t.test('a new incarnation, or a back end that did not leave, serves when it is listed again', async t => {
	const {view, apply} = createView();
	apply({isLeaving: true});
	apply({isGone: true});
	apply({startedAt: 2});
	apply({id: 'b'});
	apply({id: 'b', isGone: true, isSilent: true});
	apply({id: 'b'});
	t.strictSame(view.getCandidates(service, () => true).map(({id}) => id), ['a', 'b']);
});

// Guards against an entry whose memory grows with each back end that ever left.
await t.test('only the latest leaves are remembered, and each for a limited time', async t => {
	const {clock, view, apply} = createView();
	const leaveAndReturn = async (id: string, count: number, pauseMs: number) => {
		apply({id, isLeaving: true});
		apply({id, isGone: true});
		for (let other = 0; other < count; other += 1) {
			apply({id: `${id}${other}`, isLeaving: true});
			apply({id: `${id}${other}`, isGone: true});
		}

		await clock.runFor(pauseMs);
		apply({id});
		return view.getCandidates(service, () => true).some(backend => backend.id === id);
	};

	t.notOk(await leaveAndReturn('a', 100, 0));
	t.ok(await leaveAndReturn('b', 2000, 0));
	t.ok(await leaveAndReturn('c', 0, 10 * silenceMs));
});

// Guards against requests to a back end whose end the entry was told of and forgot, when a coordinator with an older roster replies next.
await t.test('a back end that has ended does not return to service when an older roster lists it', async t => {
	const {view, apply} = createView();
	apply({});
	apply({isGone: true});
	apply({id: 'unknown', isGone: true});
	apply({});
	apply({id: 'unknown'});
	t.equal(view.getCandidates(service, () => true).length, 0);
	t.strictSame(view.getLeaves().map(({backend}) => backend), ['a', 'unknown'], 'and the coordinators are told of it');
	apply({startedAt: 2});
	t.equal(view.getCandidates(service, () => true).length, 1, 'a later start');
});
