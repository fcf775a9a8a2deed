/** Tests the position from which audit records are read. */
import t from 'tap';
import {codes} from '@mulberrypitch/errors/catalogue';
import {getAccountPosition} from '../account-position.js';

await t.test('reads the position, and the first one where none is given', async t => {
	t.equal(getAccountPosition('/v1/admin/account?from=200'), 200);
	t.equal(getAccountPosition('/v1/admin/account'), 1);
});

// Guards against a bad position that travels to the leader and comes back as an error of the program.
await t.test('a position that is not an integer from 1 is a bad request that names it', async t => {
	for (const from of ['x', '', '0', '-3', '1.5', '1e99']) {
		t.throws(() => getAccountPosition(`/v1/admin/account?from=${from}`), {code: codes.badRequest, message: new RegExp(`"${from}"`, 'v')});
	}
});
