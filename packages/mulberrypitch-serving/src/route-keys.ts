/** The common spelling of hosts and paths, by which those of a configuration are compared with those of requests. */
import {Buffer} from 'node:buffer';
import {domainToASCII} from 'node:url';

const ascii = /^\p{ASCII}*$/v;
/** What a path can't have as it is, and is therefore written as `%` and two digits for each byte. */
const unsendable = /[^!-~]+/gv;
/** Such an escape, of which the digits may be in either case. */
const escapedByte = /%(?:[89A-F][\dA-F]|[01][\dA-F]|20|7F)/giv;

/**
Returns the common spelling of a host name: in lower case, and with letters beyond ASCII as callers write them (`xn--…`).

@example
```
getHostKey('Łódź.example'); // 'xn--d-uga0v4h.example'
```
*/
export function getHostKey(host: string): string {
	const isAscii = ascii.test(host);
	return (isAscii ? '' : domainToASCII(host)) || host.toLowerCase();
}

/**
Returns the common spelling of a path or prefix, in which bytes that a path can't have as they are, and only these, are escaped in upper case.

@example
```
getPathKey('/ż/'); // '/%C5%BC/'
```
*/
export function getPathKey(path: string): string {
	return path
		.replaceAll(unsendable, text => escapeBytes(text))
		.replaceAll(escapedByte, text => text.toUpperCase());
}

function escapeBytes(text: string): string {
	return [...Buffer.from(text)].map(byte => `%${byte.toString(16).padStart(2, '0')}`).join('');
}
