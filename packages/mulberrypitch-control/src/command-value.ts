/** The result values of commands. */
import type {Command} from './commands.js';
import type {
	BackendServer, ConfigurationChange, RequestRecord, Session,
} from './types.js';

/** The value of `acceptRequest`. */
export type Acceptance = {
	/** Whether `request` is an earlier request with the same idempotency key. */
	readonly isDuplicate: boolean;
	readonly request: RequestRecord;
	/** Whether a back end broke off or crashed while it ran a request with the same content. */
	readonly isSuspect: boolean;
};

/** Result values by command kind. Commands that are not listed have no value. */
type CommandValues = {
	readonly openSession: Session;
	readonly registerBackend: BackendServer;
	readonly acceptRequest: Acceptance;
	readonly transferRequest: RequestRecord;
	readonly finishRequest: RequestRecord;
	readonly applyConfiguration: ConfigurationChange;
};

/** The result value of one command kind. */
export type CommandValue<Kind extends Command['kind']> = Kind extends keyof CommandValues ? CommandValues[Kind] : undefined;
