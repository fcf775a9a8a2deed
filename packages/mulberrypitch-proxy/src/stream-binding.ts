/**
 * Binds a stream to the software version that began it. What back ends of two versions write doesn't fit together, and they don't
 * check it.
 */
import type {AnnouncedBackend} from '@mulberrypitch/serving/types';

/** The back end of an attempt. */
export type VersionedBackend = {
	readonly announced: Pick<AnnouncedBackend, 'version'>;
};

/** Knows which back ends may write the next part of one response. */
export class StreamBinding {
	/** Version of the back end to which the request was sent last. */
	#sentVersion: string | undefined;
	#isBound: boolean;
	#version: string | undefined;

	/** `version` is that of a stream that began in an earlier response; absent if this one begins it. */
	constructor(version?: string) {
		this.#isBound = version !== undefined;
		this.#version = version;
	}

	/** Whether only back ends of one version may go on with the response. */
	get isBound(): boolean {
		return this.#isBound;
	}

	/** Version that the response is bound to; absent if it is not bound yet, or to an unknown version. */
	get version(): string | undefined {
		return this.#version;
	}

	/** Records the back end to which the request is sent now. */
	recordSend({announced}: VersionedBackend): void {
		this.#sentVersion = announced.version;
	}

	/** Binds the response to the version of the back end of which the caller now gets the first part. */
	bind(): void {
		if (!this.#isBound) {
			this.#isBound = true;
			this.#version = this.#sentVersion;
		}
	}

	/** Reports whether a back end may be sent the request. None may go on with a stream whose version is unknown. */
	isMatching({announced}: VersionedBackend): boolean {
		return !this.#isBound || (this.#version !== undefined && announced.version === this.#version);
	}
}
