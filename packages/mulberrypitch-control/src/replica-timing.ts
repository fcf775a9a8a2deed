/** Times that all parts of a replica share. */

/** Time without a leader after which a replica asks for votes, and in which it grants none. */
export const electionTimeoutMs = 600;
export const heartbeatMs = 100;
export const callTimeoutMs = 500;
export const retryDelayMs = 50;
/** Share by which two monotonic clocks may drift apart. */
const clockDrift = 0.05;
/** Time that a leader may rely on its quorum, counted from the sending of the calls. */
export const leaseMs = electionTimeoutMs * (1 - clockDrift);
