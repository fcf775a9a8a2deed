/** Tests the quarantine of a request whose content crashes each back end that runs it. Without it, retries would crash one back end after the other. */
import t from 'tap';
import {codes} from '@mulberrypitch/errors/catalogue';
import {ends} from '@mulberrypitch/control/types';
import {
	createChat, createDocument, collectAnswer, isWhole,
} from './cluster-calls.js';
import {RequestCluster} from './request-cluster.js';

const limitMs = 60_000;
const tokens = 150;

for (const hasReclaims of [false, true]) {
	await t.test(`a poison request crashes at most two back ends, and no other request is quarantined${hasReclaims ? ', during a wave of reclaims' : ''}`, async t => {
		const cluster = new RequestCluster();
		t.teardown(async () => cluster.dispose());
		await cluster.start(4, 8);
		const hosts = [...cluster.hosts.values()];
		const submitting = Array.from({length: 16}, async (_, index) => hosts[index % 4]!.requests.submit(createDocument(`plan-${index}`, tokens)));
		const accepted = await cluster.settle(Promise.all(submitting));
		const harmlessAnswers = accepted.map(request => collectAnswer(request));
		const poison = createDocument('poison', tokens);
		const poisonAnswers = [collectAnswer(await cluster.settle(hosts[0]!.requests.submit(poison)))];
		if (hasReclaims) {
			void cluster.reclaim('engine-7', 2000);
			void cluster.reclaim('engine-8', 2000);
		}

		for (const host of hosts.slice(1)) {
			await cluster.clock.runFor(1000);
			poisonAnswers.push(collectAnswer(await cluster.settle(host.requests.submit(poison))));
		}

		await cluster.until(() => [...harmlessAnswers, ...poisonAnswers].every(({outcome}) => outcome !== undefined), limitMs);
		t.ok(cluster.backends.deaths <= 2, `${cluster.backends.deaths} back ends crashed`);
		t.ok(harmlessAnswers.every((received, index) => isWhole(received, `plan-${index}`, tokens)));
		t.ok(poisonAnswers.every(({outcome}) => outcome!.end === ends.failed && outcome!.code === codes.quarantined && outcome!.retryAfterSeconds! > 0));
		await t.rejects(cluster.settle(hosts[1]!.requests.submit(poison)), {code: codes.quarantined}, 'a later resend is refused at once');
	});
}

// Guards against chats that share one fatal message, no two alike, of which each would crash two more back ends.
await t.test('a message under which back ends crash is quarantined whatever follows it, and the messages beside it are not', async t => {
	const cluster = new RequestCluster();
	t.teardown(async () => cluster.dispose());
	await cluster.start(4, 12);
	const hosts = [...cluster.hosts.values()];
	const run = async (messages: readonly string[], host: number) => {
		const answer = collectAnswer(await cluster.settle(hosts[host % 4]!.requests.submit(createChat(messages, tokens))));
		await cluster.until(() => answer.outcome !== undefined, limitMs);
		return answer.outcome!;
	};

	const submitFatal = async (number: number) => cluster.settle(hosts[number % 4]!.requests.submit(createChat(['be brief', 'poison', `question ${number}`], tokens)));
	for (let number = 0; number < 2; number += 1) {
		const fatal = await run(['be brief', 'poison', `question ${number}`], number);
		t.equal(fatal.code, codes.quarantined);
		const sound = await run(['be brief', `question ${number}`], number);
		t.equal(sound.end, ends.answered);
	}

	for (let number = 2; number < 8; number += 1) {
		await t.rejects(submitFatal(number), {code: codes.quarantined});
		const sound = await run(['be brief', `question ${number}`], number);
		t.equal(sound.end, ends.answered);
	}

	t.ok(cluster.backends.deaths <= 5, `${cluster.backends.deaths} back ends crashed`);
});
