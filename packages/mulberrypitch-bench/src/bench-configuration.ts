/** The shared configuration that measurements run on. */
import {createHash} from 'node:crypto';

/** Key of the only workspace. */
export const benchKey = 'bench-key';

/** Names of the services. */
export const benchServices = {
	engine: 'advice',
	plain: 'bookings',
} as const;

/** Limits wide enough that admission does not bound a measurement. */
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
