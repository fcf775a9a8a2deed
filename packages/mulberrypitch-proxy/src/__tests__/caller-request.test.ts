/** Tests how the headers of callers' requests are read. */
import t from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import type {Workspace} from '@mulberrypitch/serving/types';
import {getQuotaUnits, readPrompt} from '../caller-request.js';

const digits = '9'.repeat(308);
/** Number of requests whose sums must stay exact. */
const requestCount = 1000;

// Guards against a caller whose token counts make the load of a back end infinite, which it then stays for all requests.
await t.test('token counts that no prompt has are limited, so that their sums are exact', async t => {
	for (const {tokens, sharedTokens} of [readPrompt(`${digits},80`, undefined), readPrompt(`${digits},80`, `a:${digits},b:${digits},c:1`)]) {
		t.ok(Number.isSafeInteger(tokens * requestCount));
		t.ok(Number.isSafeInteger(sharedTokens * requestCount));
	}

	t.equal(readPrompt('-5,80', 'a:-5,b:5').tokens, 0);
	const workspace = assumeType<Workspace>({countsTokens: true, plainTokens: 200});
	for (const count of [`${digits},80`, '1e308,1e308', `${digits},${digits}`]) {
		t.ok(Number.isSafeInteger(getQuotaUnits(workspace, count) * requestCount), count.slice(0, 20));
	}

	t.equal(getQuotaUnits(workspace, '-5,0'), 0);
});

await t.test('ordinary token counts are read as they are', async t => {
	t.strictSame(readPrompt('1200,80', '5c1e:800,91bd:400'), {
		tokens: 1200, sharedTokens: 800, sharedParts: ['5c1e'], sharedPart: '5c1e',
	});
	t.equal(getQuotaUnits(assumeType<Workspace>({countsTokens: true, plainTokens: 200}), '1200,80'), 1280);
	t.equal(getQuotaUnits(assumeType<Workspace>({countsTokens: true, plainTokens: 200}), 'many'), 200);
});
