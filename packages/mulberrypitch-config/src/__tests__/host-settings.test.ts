/** Tests of the validation of host settings. */
import t from 'tap';
import {validateHostSettings} from '../host-settings.js';

const minimal = '[host]\nname = a\n[control]\nreplicas = a=127.0.0.1:7080\n';

await t.test('fills in defaults', async t => {
	const settings = validateHostSettings(minimal, 'host.ini');
	t.equal(settings.httpListen, '127.0.0.1:8080');
	t.same(settings.roles, ['entry']);
});

await t.test('rejects an unknown key and suggests the closest known one', async t => {
	t.throws(() => validateHostSettings(minimal.replace('name', 'nmae'), 'host.ini'), {
		message: 'host.ini: key "nmae" in section [host] is not known.', nextStep: 'Did you mean "name"?',
	});
});

await t.test('rejects an unknown section and suggests the closest known one', async t => {
	t.throws(() => validateHostSettings(`${minimal}[lisen]\nhttp = x\n`, 'host.ini'), {code: 'settings', nextStep: 'Did you mean "listen"?'});
});

await t.test('rejects a control host without a data folder', async t => {
	t.throws(() => validateHostSettings(minimal.replace('name = a', 'name = a\nroles = control'), 'host.ini'), {code: 'settings', nextStep: 'Set "data" in section [host].'});
});

await t.test('rejects a host that listens on a non-loopback address without secrets', async t => {
	t.throws(() => validateHostSettings(`${minimal}[listen]\nhttp = 10.0.0.1:8080\n`, 'host.ini'), {message: /peer-secret-file/v});
});

await t.test('rejects a listen address with a host name instead of an IP address', async t => {
	t.throws(() => validateHostSettings(`${minimal}[listen]\nhttp = localhost:8080\n`, 'host.ini'), {message: /use an IP number/v});
});
