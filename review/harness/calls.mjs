/** HTTP calls of the stand-ins. */
import http from 'node:http';
import {Buffer} from 'node:buffer';
import {wait} from './time.mjs';

/**
Sends a call and resolves with its outcome: with `status`, `headers` and `body` if a whole response came in time, else without. `isReused` tells
whether the connection was a kept one.
*/
export async function exchange({address, method, path, headers = {}, body, timeoutMs = 1000, agent = false}) {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const request = http.request({
			host, port, method, path, agent, headers: {...(body !== undefined && {'Content-Length': Buffer.byteLength(body)}), ...headers},
		}, response => {
			const parts = [];
			response.on('data', part => {
				parts.push(part);
			});
			response.once('end', () => {
				finish(response.complete ? {status: response.statusCode, headers: response.headers, body: Buffer.concat(parts).toString('latin1')} : {});
			});
			response.once('error', () => {
				finish({});
			});
		});
		const timer = setTimeout(() => {
			request.destroy();
			finish({isTimeout: true});
		}, timeoutMs);
		const finish = outcome => {
			clearTimeout(timer);
			resolve({...outcome, isReused: request.reusedSocket});
		};

		request.once('error', () => {
			finish({});
		});
		request.end(body);
	});
}

/** Sends a call and resolves with the response, or with `undefined` if no whole one came in time. */
export async function call(request) {
	const outcome = await exchange({...request, headers: {...(request.body !== undefined && {'Content-Type': 'application/json'})}});
	return outcome.status === undefined ? undefined : outcome;
}

/** Sends a configuration to one node after the other until one acknowledges it. Resolves with whether one did in time. */
export async function putConfiguration(cores, configuration, timeoutMs = 10_000) {
	const until = Date.now() + timeoutMs;
	for (let number = 0; Date.now() < until; number += 1) {
		const reply = await call({
			address: cores[number % cores.length].control, method: 'POST', path: '/mulberrypitch/Config.Put', body: JSON.stringify(configuration),
		});
		if (reply?.status === 200) {
			return true;
		}

		await wait(100);
	}

	return false;
}

/** Reads the newest configuration from a node; `undefined` if it does not tell. */
export async function readConfiguration(core) {
	const reply = await call({address: core.control, method: 'GET', path: '/mulberrypitch/Config.Get'});
	return reply?.status === 200 ? JSON.parse(reply.body) : undefined;
}
