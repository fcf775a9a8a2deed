/** Requests whose content may kill back ends: charges by fingerprint, and the quarantine that follows from two of them. */
import {QuarantinedError} from '@mulberrypitch/errors/catalogue';
import type {BackendTable} from './backend-table.js';
import type {CommandOf} from './commands.js';
import type {BackendServer} from './types.js';

const chargesToQuarantine = 2;
const quarantineMs = 10 * 60_000;
/** Time in which the death of a back end must show; longer than its lease. */
const confirmationMs = 10_000;

/** A back end that broke off a request. */
export type Charge = {
	readonly backend: string;
	readonly incarnation: string;
	/** Log time in milliseconds. */
	readonly at: number;
	/** The back end has died; until then it may have been the link alone. */
	readonly isConfirmed: boolean;
};

/** The JSON form of the table. */
export type CapturedQuarantine = {
	readonly charges: ReadonlyArray<readonly [string, readonly Charge[]]>;
	readonly deaths: ReadonlyArray<readonly [string, number]>;
};

/** Charges in the replicated state, so that resends through other hosts meet them. */
export class QuarantineTable {
	readonly #backends: BackendTable;
	readonly #charges = new Map<string, readonly Charge[]>();
	readonly #deaths = new Map<string, number>();

	constructor(backends: BackendTable) {
		this.#backends = backends;
	}

	/** Charges a fingerprint with a back end that broke it off; one that was leaving charges nobody. */
	charge({fingerprint, backend, incarnation}: CommandOf<'chargeFingerprint'>, now: number): void {
		const known = this.#backends.get(backend);
		const isRunning = known?.incarnation === incarnation && !known.isLeaving;
		const charges = this.getCharges(fingerprint, now);
		if ((isRunning || this.#deaths.has(incarnation)) && charges.every(charge => charge.backend !== backend)) {
			this.#charges.set(fingerprint, [...charges, {
				backend, incarnation, at: now, isConfirmed: this.#deaths.has(incarnation),
			}]);
		}
	}

	/** Confirms the charges of a back end that died without notice. */
	confirm(dead: BackendServer | undefined, now: number): void {
		if (dead === undefined || dead.isLeaving) {
			return;
		}

		this.#dropExpired(now);
		this.#deaths.set(dead.incarnation, now);
		for (const [fingerprint, charges] of this.#charges) {
			this.#charges.set(fingerprint, charges.map(charge => charge.incarnation === dead.incarnation ? {...charge, isConfirmed: true} : charge));
		}
	}

	/** Drops the charges of a request that was answered after all. */
	clear(fingerprint: string): void {
		this.#charges.delete(fingerprint);
	}

	/** Gives the charges that count now. */
	getCharges(fingerprint: string, now: number): readonly Charge[] {
		return (this.#charges.get(fingerprint) ?? []).filter(charge => now - charge.at <= (charge.isConfirmed ? quarantineMs : confirmationMs));
	}

	/** Throws `QuarantinedError` for a fingerprint that killed two back ends. */
	requireAllowed(fingerprint: string, now: number): void {
		const confirmed = this.getCharges(fingerprint, now).filter(({isConfirmed}) => isConfirmed);
		if (confirmed.length >= chargesToQuarantine) {
			throw new QuarantinedError(Math.ceil((confirmed[0]!.at + quarantineMs - now) / 1000));
		}
	}

	capture(): CapturedQuarantine {
		return {charges: [...this.#charges], deaths: [...this.#deaths]};
	}

	restore({charges, deaths}: CapturedQuarantine): void {
		this.#charges.clear();
		this.#deaths.clear();
		for (const [fingerprint, list] of charges) {
			this.#charges.set(fingerprint, list);
		}

		for (const [incarnation, at] of deaths) {
			this.#deaths.set(incarnation, at);
		}
	}

	#dropExpired(now: number): void {
		for (const fingerprint of this.#charges.keys()) {
			if (this.getCharges(fingerprint, now).length === 0) {
				this.#charges.delete(fingerprint);
			}
		}

		for (const [incarnation, at] of this.#deaths) {
			if (now - at > quarantineMs) {
				this.#deaths.delete(incarnation);
			}
		}
	}
}
