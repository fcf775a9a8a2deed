/** Sums what the entries observe of the speeds of back ends, and derives the speeds that the entries are told. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {MetricsRegistry} from '@mulberrypitch/metrics/registry';
import {addEvidence, estimateSpeeds, type Speeds} from '@mulberrypitch/routing/speed-estimate';
import type {AnnouncedBackend} from '@mulberrypitch/serving/types';
import type {SpeedReport} from '@mulberrypitch/serving/view-messages';

/** Dependencies of the sums. */
export type SpeedSumsOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: MetricsRegistry;
	/** Returns the back ends that serve. */
	readonly getServing: () => readonly AnnouncedBackend[];
};

type TimedReport = {
	readonly report: SpeedReport;
	/** Monotonic time in milliseconds. */
	readonly at: number;
};

type LoggedSpeed = {
	readonly service: string;
	/** Speed as last logged. */
	readonly speed: number;
	readonly removeGauge: () => void;
};

/** Time in milliseconds for which a report counts, which is several times the interval between two reports. */
const reportTimeoutMs = 5000;
/** Time in milliseconds for which derived speeds are used again. */
const cacheMs = 500;
/** Interval in milliseconds at which the sums are sent to each other coordinator. */
const exchangeIntervalMs = 1000;
/** Ratio of two speeds from which on a change is logged. */
const loggedRatio = 1.15;

/** Holds the last report of each entry that reports here, and the sums of the other coordinators. */
export class SpeedSums {
	readonly #options: SpeedSumsOptions;
	readonly #entries = new Map<string, TimedReport>();
	readonly #coordinators = new Map<string, TimedReport>();
	/** Monotonic times in milliseconds at which the sums were last sent, by coordinator. */
	readonly #sentAt = new Map<string, number>();
	#speeds: Speeds = {};
	#derivedAt = Number.NEGATIVE_INFINITY;
	/** Back ends whose speed has differed from one, by identifier. */
	readonly #logged = new Map<string, LoggedSpeed>();

	constructor(options: SpeedSumsOptions) {
		this.#options = options;
	}

	/** Stores the report of an entry. */
	update(entry: string, report: SpeedReport): void {
		this.#entries.set(entry, {report, at: this.#options.clock.now()});
	}

	/** Stores the sums of another coordinator. */
	merge(coordinator: string, sums: SpeedReport): void {
		this.#coordinators.set(coordinator, {report: sums, at: this.#options.clock.now()});
	}

	/** Returns the sums of the entries that report here if they are due at another coordinator. */
	takeSums(coordinator: string): SpeedReport | undefined {
		const now = this.#options.clock.now();
		if (now - (this.#sentAt.get(coordinator) ?? Number.NEGATIVE_INFINITY) < exchangeIntervalMs) {
			return undefined;
		}

		this.#sentAt.set(coordinator, now);
		return addEvidence(this.#getRecent(this.#entries));
	}

	/** Returns the speeds that differ from one, by back end. */
	getSpeeds(): Speeds {
		const {clock} = this.#options;
		if (clock.now() - this.#derivedAt >= cacheMs) {
			this.#derivedAt = clock.now();
			this.#speeds = this.#derive();
		}

		return this.#speeds;
	}

	/** Returns the speed of a back end; one unless there is strong evidence that it differs. */
	getSpeed(backend: string): number {
		return this.getSpeeds()[backend] ?? 1;
	}

	#derive(): Speeds {
		const serving = this.#options.getServing();
		const services = new Map(serving.map(({id, service}) => [id, service]));
		for (const [backend, {service, removeGauge}] of this.#logged) {
			if (services.get(backend) !== service) {
				this.#logged.delete(backend);
				removeGauge();
			}
		}

		const evidence = addEvidence([...this.#getRecent(this.#entries), ...this.#getRecent(this.#coordinators)]);
		const byService = new Map<string, Record<string, SpeedReport[string]>>();
		for (const {id, service} of serving) {
			const own = evidence[id];
			if (own !== undefined) {
				const ofService = byService.get(service) ?? {};
				byService.set(service, ofService);
				ofService[id] = own;
			}
		}

		const speeds: Record<string, number> = {};
		for (const [service, ofService] of byService) {
			const derived = estimateSpeeds(ofService);
			Object.assign(speeds, derived);
			for (const [backend, [weight]] of Object.entries(ofService)) {
				this.#log({
					service, backend, weight, speed: derived[backend] ?? 1,
				});
			}
		}

		return speeds;
	}

	#log({service, backend, weight, speed}: {readonly service: string; readonly backend: string; readonly weight: number; readonly speed: number}): void {
		const logged = this.#logged.get(backend);
		const previous = logged?.speed ?? 1;
		if (Math.max(speed / previous, previous / speed) >= loggedRatio) {
			this.#options.logger.log(events.speedChanged, {
				backend, service, speed, previous, weight: Math.round(weight),
			});
			this.#logged.set(backend, {service, speed, removeGauge: logged?.removeGauge ?? this.#addGauge(service, backend)});
		}
	}

	/** Adds a gauge and returns the function that removes it. */
	#addGauge(service: string, backend: string): () => void {
		const read = () => this.getSpeed(backend);
		return this.#options.metrics.gauge('mulberrypitch_coordinator_backend_speed', 'Speed of a back end relative to the mean of its service, of those that differed.', read, {service, backend});
	}

	/** Returns the recent reports, and drops the others. */
	#getRecent(reports: Map<string, TimedReport>): readonly SpeedReport[] {
		const since = this.#options.clock.now() - reportTimeoutMs;
		for (const [name, {at}] of reports) {
			if (at < since) {
				reports.delete(name);
			}
		}

		return [...reports.values()].map(({report}) => report);
	}
}
