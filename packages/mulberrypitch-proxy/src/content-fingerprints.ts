/** Identifies the contents of a request that may crash back ends. */
import {createHash, type Hash} from 'node:crypto';

/** Parts that identify a caller's request. */
export type IdentifyingParts = {
	/** Absent when the configuration requires no keys. */
	readonly workspace: string | undefined;
	readonly method: string;
	readonly path: string;
	readonly body: Uint8Array;
	/** Identifiers of the prompt's parts that other requests share. */
	readonly sharedParts: readonly string[];
};

/** Number of shared parts of one prompt that are identified. */
const maxParts = 16;
/** Number of characters above which a part's identifier is replaced by its hash, since fingerprints are sent often. */
const maxIdLength = 64;
/** Number of characters of a hash. */
const hashLength = 16;

/**
Returns the fingerprints of a request's contents, from the least to the most specific one: each shared part of its prompt, and the
whole request.

@example
```
const fingerprints = getContentFingerprints({workspace: 'shop', method: 'GET', path: '/stock/', body, sharedParts: []});
```
*/
export function getContentFingerprints({workspace, method, path, body, sharedParts}: IdentifyingParts): readonly string[] {
	const hash = createHash('sha256');
	hash.update(JSON.stringify([workspace ?? null, method, path]));
	hash.update(body);
	return [
		...sharedParts.slice(0, maxParts).map(part => getPartFingerprint(part)),
		`request:${encodeHash(hash)}`,
	];
}

function getPartFingerprint(id: string): string {
	return id.length <= maxIdLength ? `part:${id}` : `part-hash:${encodeHash(createHash('sha256').update(id))}`;
}

function encodeHash(hash: Hash): string {
	return hash.digest('base64url').slice(0, hashLength);
}
