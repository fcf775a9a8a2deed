/** Tests the errors that callers get. */
import type {ServerResponse} from 'node:http';
import t from 'tap';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {codes, NotFoundError} from '@mulberrypitch/errors/catalogue';
import {sendFailure, toFailure} from '../http-reply.js';

function capture(error: unknown): {status: number; text: string} {
	const captured = {status: 0, text: ''};
	sendFailure(assumeType<ServerResponse>({
		setHeader() {
			// The errors of this test have no retry delay.
		},
		writeHead(status: number) {
			captured.status = status;
		},
		end(text: string) {
			captured.text = text;
		},
	}), error);
	return captured;
}

// Guards against an error that is counted under one code and answered with another.
await t.test('an error without a code is answered with the code under which it is counted, and without its message', async t => {
	const error = new Error('secret');
	const {status, text} = capture(error);
	t.equal(status, 500);
	t.match(text, `"code":"${toFailure(error).code}"`);
	t.equal(toFailure(error).code, codes.internal);
	t.notMatch(text, 'secret');
});

await t.test('an error with a code is answered with it', async t => {
	const {status, text} = capture(new NotFoundError('No such request.'));
	t.equal(status, 404);
	t.match(text, `"code":"${codes.notFound}"`);
});
