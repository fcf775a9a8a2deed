/** Tests of merging, validating and hashing the shared configuration. */
import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import t from 'tap';
import {demoConfiguration} from '../defaults.js';
import {getConfigurationDigest, listEffectiveValues, validateSharedConfiguration} from '../shared-configuration.js';

const examples = path.resolve(import.meta.dirname, '../../../../examples');
const base = {file: 'base.ini', text: demoConfiguration};

await t.test('applies an overlay and reports which file set each value', async t => {
	const overlay = {file: 'site.ini', text: '[service.advice]\nqueue-limit = 7\n'};
	const configuration = validateSharedConfiguration({base, overlay});
	t.equal(configuration.services.find(service => service.name === 'advice')!.queueLimit, 7);
	const value = listEffectiveValues({base, overlay}).find(({key}) => key === 'queue-limit')!;
	t.equal(value.file, 'site.ini');
});

await t.test('returns equal digests for equal configurations in different order', async t => {
	const reordered = {file: 'b.ini', text: demoConfiguration.split('\n\n').toReversed().join('\n\n')};
	t.equal(getConfigurationDigest(validateSharedConfiguration({base})), getConfigurationDigest(validateSharedConfiguration({base: reordered})));
});

await t.test('rejects a workspace that refers to an unknown service', async t => {
	const text = demoConfiguration.replace('[workspace.demo]', '[workspace.demo]\nservices = advise');
	t.throws(() => validateSharedConfiguration({base: {file: 'base.ini', text}}), {code: 'settings', nextStep: 'Did you mean "advice"?'});
});

await t.test('rejects a value out of range', async t => {
	const text = demoConfiguration.replace('kind = engine', 'kind = engine\nqueue-limit = 0');
	t.throws(() => validateSharedConfiguration({base: {file: 'base.ini', text}}), {message: /queue-limit/v});
});

for (const deployment of readdirSync(examples)) {
	await t.test(`accepts the example ${deployment} with each overlay`, async t => {
		const folder = path.join(examples, deployment);
		const read = (file: string) => ({file, text: readFileSync(path.join(folder, file), 'utf8')});
		const overlays = readdirSync(folder).filter(file => file.endsWith('.ini') && file !== 'base.ini');
		t.equal(overlays.length, 3);
		for (const file of overlays) {
			t.equal(validateSharedConfiguration({base: read('base.ini'), overlay: read(file)}).workspaces.length, 5);
		}
	});
}
