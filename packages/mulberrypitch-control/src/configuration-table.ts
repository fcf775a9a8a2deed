/** The accepted configuration and the latest accepted changes. */
import {assertInvariant, ConflictError} from '@mulberrypitch/errors/catalogue';
import type {CommandOf} from './commands.js';
import type {ConfigurationChange, ConfigurationRevision} from './types.js';

/** Number of accepted changes whose identifiers are stored. */
const maxChanges = 256;

/** The configuration table as JSON. */
export type CapturedConfiguration = {
	readonly current?: ConfigurationRevision;
	readonly changes: readonly ConfigurationChange[];
};

/** Accepts one change per revision. The revision never decreases. */
export class ConfigurationTable {
	#current: ConfigurationRevision | undefined;
	#changes: ConfigurationChange[] = [];

	/** The current configuration, or undefined before the first change. */
	get current(): ConfigurationRevision | undefined {
		return this.#current;
	}

	/** Revision of the current configuration, or 0 before the first change. */
	get revision(): number {
		return this.#current?.revision ?? 0;
	}

	/** Returns an accepted change by its identifier, or undefined. */
	findChange(changeId: string): ConfigurationChange | undefined {
		return this.#changes.find(change => change.changeId === changeId);
	}

	/**
	Accepts a change that is based on the current revision. For a change that is sent again, returns the first result. The table
	keeps only the latest `maxChanges` identifiers. An older change can't be accepted twice, because its expected revision
	is outdated.
	*/
	apply(command: CommandOf<'applyConfiguration'>): ConfigurationChange {
		const accepted = this.findChange(command.changeId);
		if (accepted !== undefined) {
			return requireSameContent(accepted, command);
		}

		if (command.expectedRevision !== this.revision) {
			throw this.#createConflict(command.expectedRevision);
		}

		const {changeId, operator, digest, files} = command;
		const change: ConfigurationChange = {
			revision: this.revision + 1, changeId, operator, digest,
		};
		this.#current = {...change, files};
		this.#changes = [...this.#changes, change].slice(-maxChanges);
		return change;
	}

	/** Returns the table as JSON that `restore` accepts. */
	capture(): CapturedConfiguration {
		return {...(this.#current !== undefined && {current: this.#current}), changes: this.#changes};
	}

	/** Replaces the table by that of a snapshot. Throws `InvariantError` if the revision would decrease. */
	restore({current, changes}: CapturedConfiguration): void {
		const revision = current?.revision ?? 0;
		assertInvariant(revision >= this.revision, `The configuration revision would decrease from ${this.revision} to ${revision}.`);
		this.#current = current;
		this.#changes = [...changes];
	}

	#createConflict(expectedRevision: number): ConflictError {
		const winner = this.#changes.find(change => change.revision === expectedRevision + 1) ?? this.#current;
		const by = winner === undefined ? '' : ` Revision ${winner.revision} is change ${winner.changeId} by ${winner.operator}.`;
		return new ConflictError(`Revision ${this.revision} is in force, not ${expectedRevision}.${by}`, 'Read the configuration in force, merge, and apply again.', {
			revision: this.revision,
			winner: winner?.operator ?? '',
			winnerChangeId: winner?.changeId ?? '',
			winnerRevision: winner?.revision ?? 0,
		});
	}
}

function requireSameContent(accepted: ConfigurationChange, {digest, changeId}: CommandOf<'applyConfiguration'>): ConfigurationChange {
	if (accepted.digest !== digest) {
		throw new ConflictError(`Change ${changeId} was accepted with other content.`, 'Use a new change identifier for a new change.', {revision: accepted.revision, winner: accepted.operator});
	}

	return accepted;
}
