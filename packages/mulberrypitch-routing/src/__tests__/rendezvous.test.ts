/** Tests that every process ranks nodes alike and that the ranks spread evenly. */
import {createHash} from 'node:crypto';
import t from 'tap';
import {hashText, rankNodes} from '../rendezvous.js';

const nodes = Array.from({length: 8}, (_, index) => `engine-${index}`);

// Guards against processes of one deployment that rank differently, since a hash of our own treats some characters differently.
await t.test('a hash is the beginning of the SHA-256 digest, for every text', async t => {
	for (const text of ['', 'engine-1', 'ใบสั่งซื้อ', '🍇 mulberry']) {
		t.equal(hashText(text), createHash('sha256').update(text).digest().readUIntBE(0, 6));
	}
});

// Guards against a change of the ranks that nobody intended: processes of both versions would rank differently while they run side by side.
await t.test('the ranks for a key stay as they are', async t => {
	t.strictSame(rankNodes(hashText('system prompt'), nodes, id => id), [7, 4, 0, 2, 3, 1, 6, 5].map(index => `engine-${index}`));
});

// Guards against keys that gather on a few nodes, or move when a node leaves that was not their first.
await t.test('keys spread evenly over the nodes, and only those of a node that leaves get another one', async t => {
	const keys = Array.from({length: 4000}, (_, index) => hashText(`prompt ${index}`));
	const counts = new Map<string, number>();
	for (const key of keys) {
		const [best] = rankNodes(key, nodes, id => id);
		const [bestAfter] = rankNodes(key, nodes.slice(1), id => id);
		counts.set(best!, (counts.get(best!) ?? 0) + 1);
		if (best !== nodes[0] && best !== bestAfter) {
			t.fail(`a key of ${best} moved to ${bestAfter}`);
		}
	}

	const mean = keys.length / nodes.length;
	t.ok(nodes.every(node => Math.abs(counts.get(node)! - mean) < mean / 5), [...counts.values()].join(' '));
});
