/** Listening on an address, with typed failures. */
import type {AddressInfo, Server} from 'node:net';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {getMessage} from '@mulberrypitch/errors/coded-error';
import {ListenError} from '@mulberrypitch/errors/catalogue';

const maxPort = 65_535;

/** An address in its two parts. */
export type HostAndPort = {
	readonly host: string;
	readonly port: number;
};

/**
Splits an address like `127.0.0.1:8080`.

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
Listens on an address. Resolves with the port in use; throws `ListenError` when the address can't be used.

@example
```
const port = await listenOn(server, '127.0.0.1', 8080);
```
*/
export async function listenOn(server: Server, host: string, port: number): Promise<number> {
	if (!Number.isInteger(port) || port < 0 || port > maxPort) {
		throw new ListenError(`${host}:${port}`, `a port is a number from 0 to ${maxPort}`);
	}

	return new Promise((resolve, reject) => {
		const fail = (error: unknown) => {
			reject(new ListenError(`${host}:${port}`, getMessage(error)));
		};

		server.once('error', fail);
		server.listen(port, host, () => {
			server.off('error', fail);
			resolve(assumeType<AddressInfo>(server.address()).port);
		});
	});
}
