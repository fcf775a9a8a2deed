/** Takes one answer of a back end: relays a stream as it comes, keeps a plain answer until it is whole, and says how it ended. */
import {Buffer} from 'node:buffer';
import type {ResponseHead} from './answer-parser.js';
import type {ResponseRelay} from './answer-relay.js';
import type {AttemptOutcome, BufferedResponse} from './attempt-outcome.js';
import {findHeader, type BackendConnection, type Exchange} from './backend-connection.js';
import {misdirectedStatus} from './types.js';

export type ResponseCollectorOptions = {
	readonly attemptId: string | undefined;
	readonly isHead: boolean;
	/** The route answers with a stream. */
	readonly isStream: boolean;
	readonly relay: ResponseRelay;
	readonly connection: BackendConnection;
	/** Name of the header that says that the request has not run. */
	readonly notRunHeader: string;
	/** Called with the first bytes of a body. */
	readonly onBodyBytes: () => void;
	/** Called when it is certain that the request runs, and again for each part of a stream. */
	readonly onExecuting: () => void;
	readonly onOutcome: (outcome: AttemptOutcome) => void;
};

/** Most of a plain answer that is kept until it is whole. */
const maxBufferedBytes = 256 * 1024;

/** Collects the answer of one exchange. */
export class ResponseCollector implements Exchange {
	readonly attemptId: string | undefined;
	readonly isHead: boolean;
	readonly #options: ResponseCollectorOptions;
	#head: ResponseHead | undefined;
	#buffered: Uint8Array[] = [];
	#bufferedBytes = 0;
	#isRelaying = false;

	constructor(options: ResponseCollectorOptions) {
		this.#options = options;
		this.attemptId = options.attemptId;
		this.isHead = options.isHead;
	}

	onHead(head: ResponseHead): void {
		const {isStream, onExecuting} = this.#options;
		this.#head = head;
		if (this.#isNotRun(head)) {
			return;
		}

		if (isStream && isSuccess(head)) {
			this.#beginRelay();
		} else {
			onExecuting();
		}
	}

	onBody(data: Uint8Array): void {
		const {onBodyBytes, onExecuting} = this.#options;
		onBodyBytes();
		if (this.#isRelaying) {
			onExecuting();
			this.#relay(data);
			return;
		}

		this.#buffered.push(Buffer.from(data));
		this.#bufferedBytes += data.length;
		if (this.#bufferedBytes > maxBufferedBytes && isSuccess(this.#head!)) {
			this.#beginRelay();
			this.#relay(Buffer.concat(this.#buffered));
			this.#buffered = [];
		}
	}

	onEnd(): void {
		const {relay, onOutcome} = this.#options;
		if (!this.#isRelaying) {
			onOutcome(this.#endBuffered({head: this.#head!, body: Buffer.concat(this.#buffered)}));
			return;
		}

		relay.endStream();
		onOutcome({kind: 'delivered'});
	}

	onFailed(reason: string): void {
		const {relay, onOutcome} = this.#options;
		onOutcome(relay.hasStarted ? {kind: 'cut', reason} : {kind: 'unknown', reason});
	}

	#endBuffered(answer: BufferedResponse): AttemptOutcome {
		const {status} = answer.head;
		if (this.#isNotRun(answer.head)) {
			return {
				kind: 'notRun', reason: `the back end answered ${status}`, wasSent: true, status,
			};
		}

		// No whole answer can follow a part of a stream.
		if (status >= 500 || this.#options.relay.hasStarted) {
			return {kind: 'failed', answer};
		}

		this.#options.relay.deliver(answer.head, answer.body);
		return {kind: 'delivered'};
	}

	#isNotRun(head: ResponseHead): boolean {
		return findHeader(head, this.#options.notRunHeader) !== undefined || head.status === misdirectedStatus;
	}

	#beginRelay(): void {
		this.#isRelaying = true;
		this.#options.relay.beginStream(this.#head!);
	}

	/** Passes bytes on; a caller that takes no more for now stops the back end too. */
	#relay(data: Uint8Array): void {
		const {relay, connection} = this.#options;
		if (!relay.writeStream(data)) {
			connection.pause();
			relay.onDrain(() => {
				connection.resume();
			});
		}
	}
}

function isSuccess({status}: ResponseHead): boolean {
	return status >= 200 && status < 300;
}
