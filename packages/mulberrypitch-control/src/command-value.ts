/** The values that commands give. */
import type {Command} from './commands.js';
import type {
	BackendServer, ConfigurationChange, RequestRecord, Session,
} from './types.js';

/** The value of `acceptRequest`: the request that counts, which is an earlier one for a known idempotency key. */
export type Acceptance = {
	readonly isDuplicate: boolean;
	readonly request: RequestRecord;
};

/** Values by command kind; commands that are not named give nothing. */
type CommandValues = {
	readonly openSession: Session;
	readonly registerBackend: BackendServer;
	readonly acceptRequest: Acceptance;
	readonly transferRequest: RequestRecord;
	readonly finishRequest: RequestRecord;
	readonly applyConfiguration: ConfigurationChange;
};

/** The value of one command kind. */
export type CommandValue<Kind extends Command['kind']> = Kind extends keyof CommandValues ? CommandValues[Kind] : undefined;
