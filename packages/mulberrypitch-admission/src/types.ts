/** Types of admission control. */

/** Properties of a request by which admission is decided. */
export type AdmissionRequest = {
	readonly customer: string;
	readonly service: string;
	/** Weight of the customer in fair queueing. */
	readonly share: number;
	/** Maximum number of requests of the customer in progress over all hosts. */
	readonly maxInFlight: number;
	/** Monotonic time in milliseconds at which the answer must be complete. */
	readonly deadline: number;
	/** Maximum number of requests of the service that wait on this host. */
	readonly queueLimit: number;
	/** Number of requests of the service that may be in progress at once, of which this host gets a part. */
	readonly capacity: number;
	/** Maximum number of tokens of the answer; zero for plain services. */
	readonly maxTokens: number;
};

/** Permission to run one request in a slot of the host. It must be released once, when the request has ended. */
export type Ticket = {
	/** Frees the slot. */
	release(): void;
};

/** Admission control of one host. */
export type Admission = {
	/** Resolves when the request may run. Throws `OverloadedError` or `DeadlineExceededError` as soon as it is known that the request won't run. */
	acquire(request: AdmissionRequest): Promise<Ticket>;
	/** Returns the number of waiting requests of a service. */
	getQueueLength(service: string): number;
};
