/** Tests how often an entry polls a coordinator: seldom on a calm day, often while something that entries share is scarce. */
import t from 'tap';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import {PollPace} from '../poll-pace.js';

const fastMs = 100;
const alertMs = 2000;

function createPace() {
	const clock = new VirtualClock();
	const state = {isPressed: false, refused: 0};
	const pace = new PollPace({clock, isPressed: () => state.isPressed, getRefused: () => state.refused});
	return {clock, state, pace};
}

// Guards against hundreds of entries that ask ten times a second for what decides nothing.
await t.test('an entry polls less often once it has been calm for a while', async t => {
	const {clock, pace} = createPace();
	t.equal(pace.getWaitMs(), fastMs, 'after the start');
	await clock.runFor(alertMs);
	t.ok(pace.getWaitMs() > 2 * fastMs);
});

// Guards against old loads and spendings in the moments in which they decide who is served.
await t.test('an entry polls often while something is scarce, and for a while after it', async t => {
	const {clock, state, pace} = createPace();
	await clock.runFor(alertMs);
	state.isPressed = true;
	t.equal(pace.getWaitMs(), fastMs);
	state.isPressed = false;
	await clock.runFor(alertMs - 1);
	t.equal(pace.getWaitMs(), fastMs);
	await clock.runFor(1);
	t.ok(pace.getWaitMs() > fastMs);
	state.refused += 1;
	t.equal(pace.getWaitMs(), fastMs, 'after a refusal');
	await clock.runFor(alertMs);
	t.ok(pace.getWaitMs() > fastMs);
	pace.alert();
	t.equal(pace.getWaitMs(), fastMs, 'after a change of the coordinator');
});
