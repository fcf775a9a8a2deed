/** Splits network addresses and makes servers listen on them. */
import type {AddressInfo, Server} from 'node:net';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {getMessage} from '@mulberrypitch/errors/coded-error';
import {ListenError} from '@mulberrypitch/errors/catalogue';

/** Largest number of a port. */
export const maxPort = 65_535;

/** A host name or IP address, and a port. */
export type HostAndPort = {
	readonly host: string;
	readonly port: number;
};

/**
Splits an address such as `127.0.0.1:8080` at its last colon.

@example
```
const {host, port} = splitAddress('127.0.0.1:8080');
```
*/
export function splitAddress(address: string): HostAndPort {
	const separator = address.lastIndexOf(':');
	return {host: address.slice(0, separator), port: Number(address.slice(separator + 1))};
}

/**
Makes a server listen on an address and resolves with the port in use. Throws `ListenError` when the address can't be used.

@example
```
const port = await listenOn(server, '127.0.0.1', 8080);
```
*/
export async function listenOn(server: Server, host: string, port: number): Promise<number> {
	if (!Number.isInteger(port) || port < 0 || port > maxPort) {
		throw new ListenError(`${host}:${port}`, `the port must be an integer from 0 to ${maxPort}`);
	}

	return new Promise((resolve, reject) => {
		const onError = (error: unknown) => {
			reject(new ListenError(`${host}:${port}`, getMessage(error)));
		};

		server.once('error', onError);
		server.listen(port, host, () => {
			server.off('error', onError);
			resolve(assumeType<AddressInfo>(server.address()).port);
		});
	});
}
