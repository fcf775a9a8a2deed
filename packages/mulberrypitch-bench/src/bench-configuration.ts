/** The shared configuration that all measurements use. */
import {createHash} from 'node:crypto';

/** API key of the only workspace. */
export const benchKey = 'bench-key';

/** Names of the services, by kind of back end. */
export const benchServices = {
	engine: 'advice',
	plain: 'bookings',
} as const;

/** The configuration document. Its limits are high enough that admission control does not affect the measurements. */
export const benchConfiguration = `[service.${benchServices.engine}]
kind = engine
queue-limit = 10000

[service.${benchServices.plain}]
kind = plain
idempotent-paths = stock
queue-limit = 10000

[workspace.bench]
key-sha256 = ${createHash('sha256').update(benchKey).digest('hex')}
max-in-flight = 10000
`;
