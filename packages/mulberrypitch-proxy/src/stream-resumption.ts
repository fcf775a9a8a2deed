/** Decides where a stream that a caller takes up again may go on. */
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {MetricsRegistry} from '@mulberrypitch/metrics/registry';
import {requestKinds, type Route} from '@mulberrypitch/serving/types';
import type {StreamOrigin} from '@mulberrypitch/serving/view-messages';
import type {BackendView} from './backend-view.js';
import type {StreamPosition} from './caller-request.js';
import {minRetryAfterSeconds, type LocalReply} from './local-replies.js';
import {StreamBinding} from './stream-binding.js';
import type {EntryRollouts} from './entry-rollouts.js';
import type {StreamOrigins} from './stream-origins.js';
import type {VersionHistory} from './version-history.js';

/** Longest wait in milliseconds for the coordinators to tell where a stream began, and the share of the request's time that it may take. */
const maxOriginWaitMs = 400;
const maxOriginWaitShare = 1 / 8;
/** Age of the view in milliseconds from which on waiting for the next one is in vain. */
const maxWaitingViewAgeMs = 1000;

/** A response of which the first part is about to be written. */
export type BegunResponse = {
	readonly attemptId: string | undefined;
	readonly route: Route;
	readonly position: StreamPosition | undefined;
	readonly service: string;
	/** Absent if the version of the back end is unknown. */
	readonly version: string | undefined;
};

/** Where a request may go on. Without an origin, it begins a stream or is none. */
export type Resumption
	= | {readonly kind: 'allowed'; readonly origin?: StreamOrigin}
		| {readonly kind: 'refused'; readonly reply: LocalReply};

/** Dependencies of the resumption. */
export type StreamResumptionOptions = {
	readonly origins: StreamOrigins;
	readonly clock: Clock;
	readonly backends: BackendView;
	readonly versions: VersionHistory;
	readonly rollouts: Pick<EntryRollouts, 'isClosed'>;
	readonly metrics: MetricsRegistry;
	/** Returns the time in milliseconds since the last reply of a coordinator that is in contact with a leader. */
	readonly getViewAgeMs: () => number;
};

type Outcome = 'resumed' | 'unknown' | 'not allowed' | 'version gone' | 'version closed';

/** Looks up where streams began. */
export class StreamResumption {
	readonly #options: StreamResumptionOptions;

	constructor(options: StreamResumptionOptions) {
		this.#options = options;
	}

	/**
	Finds out where a request may go on. One that resumes a stream is refused if it isn't known where the stream began, or if the route
	or the back ends don't let it go on there.
	*/
	async resolve(position: StreamPosition | undefined, route: Route, leftMs: number): Promise<Resumption> {
		if (position === undefined || route.kind !== requestKinds.streaming) {
			return {kind: 'allowed'};
		}

		const origin = await this.#findOrigin(position, route, leftMs);
		if (origin === undefined) {
			return this.#refuse('unknown', 'origin of the stream unknown', {resumes: position.attemptId});
		}

		const {service, version} = origin;
		const inputs = {resumes: position.attemptId, service, version};
		if (!route.targets.some(target => target.service === service && target.weight > 0)) {
			return this.#refuse('not allowed', 'the route does not lead to the service that began the stream', inputs);
		}

		if (this.#options.rollouts.isClosed(origin)) {
			return this.#refuse('version closed', 'the version that began the stream was rolled back or replaced, or the view is too old to tell', inputs);
		}

		const binding = new StreamBinding(version);
		if (this.#options.backends.isWithoutBackends(service, backend => binding.isMatching(backend))) {
			return this.#refuse('version gone', 'no back end of the version that began the stream', inputs);
		}

		this.#count('resumed');
		return {kind: 'allowed', origin};
	}

	/** Records where a stream that its caller may take up again began. One that goes on is known by its first attempt. */
	recordBegun({attemptId, route, position, service, version}: BegunResponse): void {
		const isStream = route.kind === requestKinds.streaming && route.isResumable;
		if (isStream && position === undefined && attemptId !== undefined && version !== undefined) {
			this.#options.origins.record(attemptId, {service, version});
		}
	}

	async #findOrigin({attemptId}: StreamPosition, route: Route, leftMs: number): Promise<StreamOrigin | undefined> {
		const {origins, clock, getViewAgeMs} = this.#options;
		const told = origins.getOrigin(attemptId);
		if (told !== undefined || getViewAgeMs() >= maxWaitingViewAgeMs) {
			return told;
		}

		// A back end of another version may have joined, and begun the stream, while this entry was suspended or cut off.
		const waitsUntil = clock.now() + Math.min(maxOriginWaitMs, leftMs * maxOriginWaitShare);
		const isCurrent = await origins.waitForReply(attemptId, waitsUntil - clock.now());
		const known = origins.getOrigin(attemptId) ?? (isCurrent ? this.#findSoleOrigin(route) : undefined);
		if (known !== undefined || attemptId === undefined) {
			return known;
		}

		return origins.waitForOrigin(attemptId, waitsUntil - clock.now());
	}

	/** Returns the only origin that a stream of the route can have, if its service has had one version for as long as a request lasts. */
	#findSoleOrigin({targets, timeoutMs}: Route): StreamOrigin | undefined {
		const [target, ...others] = targets.filter(({weight}) => weight > 0);
		if (target === undefined || others.length > 0) {
			return undefined;
		}

		const version = this.#options.versions.getSole(target.service, timeoutMs);
		return version === undefined ? undefined : {service: target.service, version};
	}

	#refuse(outcome: Outcome, reason: string, inputs: LocalReply['inputs']): Resumption {
		this.#count(outcome);
		return {
			kind: 'refused', reply: {
				status: 503, reason, retryAfterSeconds: minRetryAfterSeconds, inputs,
			},
		};
	}

	#count(outcome: Outcome): void {
		this.#options.metrics.count('mulberrypitch_resumed_streams_total', 'Streams that callers take up again, by whether they may go on.', {outcome});
	}
}
