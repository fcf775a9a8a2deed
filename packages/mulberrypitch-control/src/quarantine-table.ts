/**
 * Quarantine of requests whose content may crash back ends. A charge links the fingerprint of a request, and those of the parts that
 * it may share with others, to a back end that broke off the request. A charge is confirmed when its back end has crashed. Two
 * confirmed charges quarantine a whole request. A part needs three separate crashes, not from an outage, since innocent parts are charged too.
 */
import {QuarantinedError} from '@mulberrypitch/errors/catalogue';
import type {BackendTable} from './backend-table.js';
import type {CommandOf} from './commands.js';
import {countCrashes} from './crash-outages.js';
import type {BackendServer} from './types.js';

/** Number of confirmed charges that quarantine a fingerprint. */
const quarantineThreshold = 2;
/** Number of confirmed charges that quarantine a part. */
const partThreshold = 3;
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

/** Fingerprints of a request's content. */
export type Fingerprints = {
	/** Identifies the whole content. */
	readonly fingerprint: string;
	/** Identify the parts that other requests may share; absent if there are none. */
	readonly parts?: readonly string[] | undefined;
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
	charge({fingerprint, parts = [], backend, incarnation}: CommandOf<'chargeFingerprint'>, now: number): void {
		const current = this.#backends.get(backend);
		const isRunning = current?.incarnation === incarnation && !current.isLeaving;
		if (!isRunning && !this.#deaths.has(incarnation)) {
			return;
		}

		for (const content of [fingerprint, ...parts]) {
			const charges = this.getCharges(content, now);
			if (charges.every(charge => charge.backend !== backend)) {
				this.#charges.set(content, [...charges, {
					backend, incarnation, at: now, isConfirmed: this.#deaths.has(incarnation),
				}]);
			}
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

	/** Removes the charges of a request's contents, because it was answered. */
	clear({fingerprint, parts = []}: Fingerprints): void {
		for (const content of [fingerprint, ...parts]) {
			this.#charges.delete(content);
		}
	}

	/** Returns the charges of a fingerprint that have not expired. */
	getCharges(fingerprint: string, now: number): readonly Charge[] {
		return (this.#charges.get(fingerprint) ?? []).filter(charge => now - charge.at <= (charge.isConfirmed ? quarantineMs : confirmationWindowMs));
	}

	/** Throws `QuarantinedError` if a request has crashed two back ends, or one of its parts three. */
	throwIfQuarantined({fingerprint, parts = []}: Fingerprints, now: number): void {
		const whole = this.#getConfirmed(fingerprint, now);
		throwIfEnough(whole, whole.length >= quarantineThreshold, now);
		for (const part of parts) {
			const confirmed = this.#getConfirmed(part, now);
			throwIfEnough(confirmed, confirmed.length >= partThreshold && this.#countSeparate(confirmed) >= partThreshold, now);
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

	#getConfirmed(content: string, now: number): readonly Charge[] {
		return this.getCharges(content, now).filter(({isConfirmed}) => isConfirmed);
	}

	/** Returns the number of separate crashes among the charges. */
	#countSeparate(charges: readonly Charge[]): number {
		const crashedAt = new Map<string, number>();
		for (const {incarnation, at} of [...this.#charges.values()].flat()) {
			crashedAt.set(incarnation, Math.min(crashedAt.get(incarnation) ?? at, at));
		}

		return countCrashes({charged: new Map(charges.map(({incarnation}) => [incarnation, crashedAt.get(incarnation)!])), crashedAt, sameCrashMs: 0});
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

/** Throws `QuarantinedError` with the time until the first charge expires if the charges are enough. */
function throwIfEnough(charges: readonly Charge[], isEnough: boolean, now: number): void {
	if (isEnough) {
		throw new QuarantinedError(Math.ceil((charges[0]!.at + quarantineMs - now) / 1000));
	}
}
