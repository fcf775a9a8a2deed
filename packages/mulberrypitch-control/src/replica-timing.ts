/** Timing settings shared by all parts of a replica. */

/** Intervals that determine how fast a group detects the loss of its leader. */
export type ReplicaTiming = {
	/** Time without contact from a leader after which a replica starts an election and before which it grants no vote. */
	readonly electionTimeoutMs: number;
	/** Interval of append calls without entries while there is nothing to replicate. */
	readonly heartbeatMs: number;
	/** Whether leaders answer reads under a lease alone. A replica that has just started must then delay its votes. */
	readonly reliesOnLeases: boolean;
};

/** Timing of a group whose leaders rely on their leases. */
export const defaultTiming: ReplicaTiming = {electionTimeoutMs: 600, heartbeatMs: 100, reliesOnLeases: true};
/** Timeout of one call between replicas, in milliseconds. */
export const callTimeoutMs = 500;
/** Delay before a failed call is retried, in milliseconds. */
export const retryDelayMs = 50;
/** Largest assumed difference between the rates of two monotonic clocks, as a share. */
const clockDrift = 0.05;

/**
Returns how long a leader may rely on a quorum after it sent the calls that the quorum acknowledged, in milliseconds.

@example
```
const isValid = clock.now() < contact + getLeaseMs(defaultTiming);
```
*/
export function getLeaseMs({electionTimeoutMs}: ReplicaTiming): number {
	return electionTimeoutMs * (1 - clockDrift);
}
