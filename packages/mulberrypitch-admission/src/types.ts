/** The interface of admission. */

/** What admission looks at. */
export type AdmissionRequest = {
	readonly customer: string;
	readonly service: string;
	/** Weight of the customer. */
	readonly share: number;
	/** Requests of the customer that may be in progress over all hosts. */
	readonly maxInFlight: number;
	/** Monotonic time in milliseconds at which the answer must be whole. */
	readonly deadline: number;
	/** Requests of the service that may wait on this host. */
	readonly queueLimit: number;
	/** Requests of the service that this host may have in progress at once. */
	readonly capacity: number;
	/** Tokens that the answer may have; zero for plain services. */
	readonly maxTokens: number;
};

/** The right to run one request. Released once. */
export type Ticket = {
	release(): void;
};

/** Decides who runs next. */
export type Admission = {
	/** Resolves when the request may run. Throws `OverloadedError` or `DeadlineExceededError` at once when it won't. */
	acquire(request: AdmissionRequest): Promise<Ticket>;
	/** Requests that wait, by service. */
	getQueueLength(service: string): number;
};
