/** Dependencies of request holders, and the state of a request from which a holder starts. */
import type {Engine, PlainService} from '@mulberrypitch/backends/types';
import type {ReclaimPolicy, RetryPolicy} from '@mulberrypitch/config/types';
import type {Session} from '@mulberrypitch/control/types';
import type {Logger} from '@mulberrypitch/logger/logger';
import type {MetricsRegistry} from '@mulberrypitch/metrics/registry';
import type {Router} from '@mulberrypitch/routing/types';
import type {StandbyLinkContext} from './standby-link.js';
import type {HeldCopy} from './types.js';

/** Dependencies that all request holders of one host share. */
export type HolderContext = StandbyLinkContext & {
	readonly router: Router;
	readonly engine: Engine;
	readonly plain: PlainService;
	readonly logger: Logger;
	readonly metrics: MetricsRegistry;
	readonly getRetryPolicy: () => RetryPolicy;
	readonly getReclaimPolicy: () => ReclaimPolicy;
};

/** State of a request when a holder starts to run it. */
export type HolderStart = {
	readonly copy: HeldCopy;
	/** Number of attempts recorded so far. */
	readonly attempts: number;
	/** Whether an earlier attempt may have reached a back end. */
	readonly mayHaveRun: boolean;
	/** Session of the host that already has a copy. */
	readonly standby?: Session;
	/** Whether both the holder and the standby were lost, so that the request can only be ended. */
	readonly isLost?: boolean;
	/** Whether a back end that ran the same content has crashed. */
	readonly isSuspect?: boolean;
};
