/** A configuration whose tenants have names with letters beyond Latin-1: does a runner get the tenant that holds the client's key? */
/* eslint-disable camelcase -- Fields of the wire format and of the settings. */
import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	createAttemptId, host, resolveFronts,
} from '../harness-3/clients.js';
import {
	createConfiguration, orderPath, service, stockPath,
} from '../harness-3/configuration.js';
import {
	bounds, call, putConfiguration, runCase,
} from '../harness-3/deployment.js';
import {Runner} from '../harness-3/runner.js';

const otherKey = 'xd9dnn2ctnfzs989anu6';
const requestsEach = 20;
/** Last code point that a byte of a header in Latin-1 can have. */
const lastLatinLetter = 0xFF;

/** Reports whether the bytes of a header name a tenant, in any form that a header can have. */
function isNamed(headerBytes, name) {
	const forms = [Buffer.from(name), Buffer.from(encodeURIComponent(name)), Buffer.from(encodeURI(name))];
	if ([...name].every(letter => letter.codePointAt(0) <= lastLatinLetter)) {
		forms.push(Buffer.from(name, 'latin1'));
	}

	return forms.some(form => form.equals(headerBytes));
}

await runCase(import.meta.dirname, async (deployment, hasTrouble) => {
	await deployment.start({frontCount: 2});
	await putConfiguration(deployment, createConfiguration(3));
	const runner = new Runner(deployment, {id: 'i-7f3a91c2', service, ip: deployment.createIp()});
	await runner.start();
	await deployment.waitUntilReady();
	const configuration = createConfiguration(4);
	const [tenant] = configuration.tenants;
	configuration.tenants = [
		{...tenant, name: hasTrouble ? 'Łódź Print' : 'Lodz Print'},
		{...tenant, name: hasTrouble ? 'Škoda Łuk' : 'Skoda Luk', api_keys: [otherKey]},
	];
	// Refused configurations are no break, and then there is nothing more to see.
	const put = await call(deployment.seeds[0], 'POST', '/mulberrypitch/Config.Put', {body: JSON.stringify(configuration), timeoutMs: 3000});
	deployment.record(`the configuration with the tenants ${configuration.tenants.map(({name}) => name).join(' and ')} got ${put.status}`);
	if (put.status === undefined || put.status >= 500) {
		throw new Error('The configuration got no clear answer.');
	}

	if (put.status !== 200) {
		return {isBroken: false, summary: `the configuration was refused with ${put.status}`};
	}

	await sleep(bounds.config_ms + 1000);
	const [address] = await resolveFronts(deployment);
	let wrong = 0;
	let run = 0;
	for (const {name, api_keys: [ownKey]} of configuration.tenants) {
		for (let count = 0; count < requestsEach; count += 1) {
			const id = createAttemptId();
			const isOrder = count % 2 === 0;
			const {status} = await call(address, isOrder ? 'POST' : 'GET', isOrder ? orderPath : stockPath, {
				...(isOrder && {body: 'order'}), headers: {
					host, 'attempt-id': id, 'request-deadline': '1500', authorization: `Bearer ${ownKey}`,
				}, timeoutMs: 1500,
			});
			const sent = runner.tenants.get(id);
			run += sent === undefined ? 0 : 1;
			const isWrong = sent !== undefined && !isNamed(sent, name);
			wrong += isWrong ? 1 : 0;
			deployment.record(`${id} with the key of ${name}: ${status}; ${sent === undefined ? 'not run' : `run with Tenant ${JSON.stringify(sent.toString('latin1'))} (${sent.toString('hex')})`}`);
		}
	}

	if (run === 0) {
		throw new Error('No request was run.');
	}

	return {isBroken: wrong > 0, summary: `${run} of ${2 * requestsEach} requests were run, ${wrong} of them with a Tenant that isn't the tenant of the key`};
});
