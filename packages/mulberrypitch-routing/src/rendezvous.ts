/** Rendezvous hashing, which ranks nodes in a stable order for each key. */
import {hash} from 'node:crypto';

/** Number of hexadecimal digits of a hash that are used: 48 bits, which a number holds exactly. */
const hashDigits = 12;

/**
Returns a 48-bit hash of a text.

@example
```
const fingerprint = hashText(prompt);
```
*/
export function hashText(text: string): number {
	return Number.parseInt(hash('sha256', text, 'hex').slice(0, hashDigits), 16);
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
		.map(node => ({node, score: hashText(`${key} ${getId(node)}`)}))
		.toSorted((left, right) => right.score - left.score)
		.map(({node}) => node);
}
