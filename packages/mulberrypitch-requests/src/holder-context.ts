/** What a holder of requests works with, and where a request stands when it begins. */
import type {Engine, PlainService} from '@mulberrypitch/backends/types';
import type {ReclaimPolicy, RetryPolicy} from '@mulberrypitch/config/types';
import type {Session} from '@mulberrypitch/control/types';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {MetricsRegistry} from '@mulberrypitch/metrics/registry';
import type {Router} from '@mulberrypitch/routing/types';
import type {StandbyLinkContext} from './standby-link.js';
import type {HeldCopy} from './types.js';

/** What all holders of one host share. */
export type HolderContext = StandbyLinkContext & {
	readonly router: Router;
	readonly engine: Engine;
	readonly plain: PlainService;
	readonly logger: Logger;
	readonly metrics: MetricsRegistry;
	readonly getRetryPolicy: () => RetryPolicy;
	readonly getReclaimPolicy: () => ReclaimPolicy;
};

/** Where a request stands when a holder begins with it. */
export type HolderStart = {
	readonly copy: HeldCopy;
	/** Dispatches recorded so far. */
	readonly attempts: number;
	/** A dispatch may have reached a back end and has no outcome. */
	readonly mayHaveRun: boolean;
	/** The host that has a copy already. */
	readonly standby?: Session;
	/** Holder and standby were lost together, so the request can only be ended. */
	readonly isLost?: boolean;
	/** A back end that ran the same content has died. */
	readonly isSuspect?: boolean;
};
