/** Splits network addresses and makes servers listen on them. */
import type {AddressInfo, Server} from 'node:net';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {getMessage} from '@mulberrypitch/errors/coded-error';
import {ListenError} from '@mulberrypitch/errors/catalogue';

const maxPort = 65_535;

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
Reports whether a number is that of a port that a connection can be made to. A server may also listen on port 0, which stands for any free one.

@example
```
isPort(65_536); // false
```
*/
export function isPort(port: number): boolean {
	return Number.isInteger(port) && port > 0 && port <= maxPort;
}

/**
Makes a server listen on an address and resolves with the port in use. Throws `ListenError` when the address can't be used.

@example
```
const port = await listenOn(server, '127.0.0.1', 8080);
```
*/
export async function listenOn(server: Server, host: string, port: number): Promise<number> {
	if (port !== 0 && !isPort(port)) {
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
