/** Knows which entries have been sent the present roll-outs, so that a change is not missed between two polls of an entry. */
import type {Rollout} from '@mulberrypitch/serving/rollout-messages';
import type {EntryStatus} from '@mulberrypitch/serving/view-messages';

/** Number of changes up to which one incarnation of an entry has been sent the roll-outs. */
type Position = {
	readonly incarnation: string;
	readonly changes: number;
};

/** Sends each entry the roll-outs. */
export class RolloutFeed {
	readonly #list: () => readonly Rollout[];
	/** By name of the entry. */
	readonly #positions = new Map<string, Position>();
	#changes = 0;

	constructor(list: () => readonly Rollout[]) {
		this.#list = list;
	}

	/** Notes that a roll-out has another revision. */
	noteChange(): void {
		this.#changes += 1;
	}

	/** Reports whether an entry has not been sent the roll-outs since their last change. */
	hasNews({name, incarnation}: EntryStatus): boolean {
		const known = this.#positions.get(name);
		return this.#list().length > 0 && !(known?.incarnation === incarnation && known.changes === this.#changes);
	}

	/** Returns the field of a reply to an entry. */
	createReply({name, incarnation}: EntryStatus): {readonly rollouts?: readonly Rollout[]} {
		const rollouts = this.#list();
		if (rollouts.length === 0) {
			return {};
		}

		this.#positions.set(name, {incarnation, changes: this.#changes});
		return {rollouts};
	}

	/** Forgets all entries but the listed ones. */
	retain(entries: readonly EntryStatus[]): void {
		const names = new Set(entries.map(({name}) => name));
		for (const name of this.#positions.keys()) {
			if (!names.has(name)) {
				this.#positions.delete(name);
			}
		}
	}
}
