/**
 * Quarantine of requests whose content may crash back ends. A charge links the fingerprint of a request to a back end that
 * broke off the request. A charge is confirmed when its back end has crashed. Two confirmed charges quarantine the fingerprint.
 */
import {QuarantinedError} from '@mulberrypitch/errors/catalogue';
import type {BackendTable} from './backend-table.js';
import type {CommandOf} from './commands.js';
import type {BackendServer} from './types.js';

/** Number of confirmed charges that quarantine a fingerprint. */
const quarantineThreshold = 2;
/** Time for which a confirmed charge counts, in milliseconds. */
const quarantineMs = 10 * 60_000;
/** Time for which an unconfirmed charge counts, in milliseconds. Longer than the lease of a back end, whose end reveals a crash. */
const confirmationWindowMs = 10_000;

/** A back end that broke off a request and may have crashed because of it. */
export type Charge = {
	readonly backend: string;
	readonly incarnation: string;
	/** Log time of the charge in milliseconds. */
	readonly at: number;
	/** Whether the back end has crashed. Before that, the connection alone may have failed. */
	readonly isConfirmed: boolean;
};

/** The quarantine table as JSON. */
export type CapturedQuarantine = {
	/** Charges by fingerprint. */
	readonly charges: ReadonlyArray<readonly [string, readonly Charge[]]>;
	/** Log times of crashes in milliseconds, by incarnation of the back end. */
	readonly deaths: ReadonlyArray<readonly [string, number]>;
};

/** Stores charges by fingerprint. They are replicated, so that they also apply when a request is resent through another host. */
export class QuarantineTable {
	readonly #backends: BackendTable;
	readonly #charges = new Map<string, readonly Charge[]>();
	readonly #deaths = new Map<string, number>();

	constructor(backends: BackendTable) {
		this.#backends = backends;
	}

	/**
	Adds a charge for a back end that broke off a request. Ignores the charge if the back end was leaving or stopped without a
	crash, or if the fingerprint already has a charge for this back end.
	*/
	charge({fingerprint, backend, incarnation}: CommandOf<'chargeFingerprint'>, now: number): void {
		const current = this.#backends.get(backend);
		const isRunning = current?.incarnation === incarnation && !current.isLeaving;
		const charges = this.getCharges(fingerprint, now);
		if ((isRunning || this.#deaths.has(incarnation)) && charges.every(charge => charge.backend !== backend)) {
			this.#charges.set(fingerprint, [...charges, {
				backend, incarnation, at: now, isConfirmed: this.#deaths.has(incarnation),
			}]);
		}
	}

	/** Confirms all charges for a back end that crashed, which means that it stopped without announcing that it leaves. */
	confirmCharges(dead: BackendServer | undefined, now: number): void {
		if (dead === undefined || dead.isLeaving) {
			return;
		}

		this.#dropExpired(now);
		this.#deaths.set(dead.incarnation, now);
		for (const [fingerprint, charges] of this.#charges) {
			this.#charges.set(fingerprint, charges.map(charge => charge.incarnation === dead.incarnation ? {...charge, isConfirmed: true} : charge));
		}
	}

	/** Removes the charges of a fingerprint, because a request with this content was answered. */
	clear(fingerprint: string): void {
		this.#charges.delete(fingerprint);
	}

	/** Returns the charges of a fingerprint that have not expired. */
	getCharges(fingerprint: string, now: number): readonly Charge[] {
		return (this.#charges.get(fingerprint) ?? []).filter(charge => now - charge.at <= (charge.isConfirmed ? quarantineMs : confirmationWindowMs));
	}

	/** Throws `QuarantinedError` if a fingerprint has crashed two back ends. */
	throwIfQuarantined(fingerprint: string, now: number): void {
		const confirmed = this.getCharges(fingerprint, now).filter(({isConfirmed}) => isConfirmed);
		if (confirmed.length >= quarantineThreshold) {
			throw new QuarantinedError(Math.ceil((confirmed[0]!.at + quarantineMs - now) / 1000));
		}
	}

	capture(): CapturedQuarantine {
		return {charges: [...this.#charges], deaths: [...this.#deaths]};
	}

	/** Replaces all charges by those of a snapshot. */
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
