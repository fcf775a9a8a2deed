/** Rendezvous hashing, which ranks nodes in a stable order for each key. */
/* eslint-disable no-bitwise -- Hash functions work on bits. */

/** Parameters of the 32-bit FNV-1a hash. */
const offsetBasis = 0x81_1C_9D_C5;
const prime = 0x01_00_01_93;

/**
Returns a 32-bit hash of a text (FNV-1a with a final mix).

@example
```
const fingerprint = hashText(prompt);
```
*/
export function hashText(text: string): number {
	let hash = offsetBasis;
	for (let index = 0; index < text.length; index += 1) {
		hash = Math.imul(hash ^ text.codePointAt(index)!, prime);
	}

	return mix(hash);
}

/**
Returns the nodes sorted by their rank for a key, best first. When a node is removed, only the keys for which it ranked first
get another first node.

@example
```
const [best] = rankNodes(hashText(prefix), ['engine-1', 'engine-2'], id => id);
```
*/
export function rankNodes<Node>(key: number, nodes: readonly Node[], getId: (node: Node) => string): Node[] {
	return nodes
		.map(node => ({node, score: mix(key ^ hashText(getId(node)))}))
		.toSorted((left, right) => right.score - left.score)
		.map(({node}) => node);
}

/** Mixes the bits of a number (the finalizer of MurmurHash3). */
function mix(value: number): number {
	let hash = value;
	hash = Math.imul(hash ^ (hash >>> 16), 0x85_EB_CA_6B);
	hash = Math.imul(hash ^ (hash >>> 13), 0xC2_B2_AE_35);
	return (hash ^ (hash >>> 16)) >>> 0;
}
