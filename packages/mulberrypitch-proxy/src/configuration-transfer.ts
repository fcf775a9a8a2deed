/** The parts of one encoded configuration that have arrived. */
import {Buffer} from 'node:buffer';
import {ProtocolError} from '@mulberrypitch/errors/catalogue';
import {getDigest} from '@mulberrypitch/serving/configuration-encoding';
import type {ConfigurationPart} from '@mulberrypitch/serving/configuration-messages';

/** Collects the parts of one version. It starts again when a coordinator encodes the version differently. */
export class ConfigurationTransfer {
	readonly version: number;
	#baseVersion: number;
	#digest = '';
	#totalBytes: number | undefined;
	#receivedBytes = 0;
	#parts: Uint8Array[] = [];

	constructor(version: number, baseVersion: number) {
		this.version = version;
		this.#baseVersion = baseVersion;
	}

	/** Version to which the encoded change applies; zero if the whole configuration is encoded. */
	get baseVersion(): number {
		return this.#baseVersion;
	}

	/** Size of the encoded form in bytes; zero before the first part. */
	get totalBytes(): number {
		return this.#totalBytes ?? 0;
	}

	/** Number of bytes that have arrived. The next part begins there. */
	get receivedBytes(): number {
		return this.#receivedBytes;
	}

	/** Reports whether all parts have arrived. */
	get isComplete(): boolean {
		return this.#receivedBytes === this.#totalBytes;
	}

	/** Reports whether more than half of the encoded form has arrived. */
	get isMostlyDone(): boolean {
		return this.#receivedBytes * 2 > this.totalBytes;
	}

	/** Takes the next part. Throws `ProtocolError` if it brings nothing. */
	add({
		version, baseVersion, totalBytes, digest, offset, data,
	}: ConfigurationPart): void {
		if (version !== this.version) {
			throw new ProtocolError(`A part of version ${version} came in place of one of version ${this.version}.`);
		}

		if (digest !== this.#digest) {
			this.#baseVersion = baseVersion;
			this.#digest = digest;
			this.#totalBytes = totalBytes;
			this.#receivedBytes = 0;
			this.#parts = [];
			if (offset > 0) {
				return;
			}
		}

		const bytes = Buffer.from(data, 'base64');
		if (offset !== this.#receivedBytes || bytes.length === 0 || offset + bytes.length > this.totalBytes) {
			throw new ProtocolError(`A part of version ${version} has ${bytes.length} bytes at offset ${offset} of ${totalBytes}, and ${this.#receivedBytes} have arrived.`);
		}

		this.#parts.push(bytes);
		this.#receivedBytes += bytes.length;
	}

	/** Returns the encoded form. Throws `ProtocolError` if its digest is wrong. */
	concatenate(): Uint8Array {
		const bytes = Buffer.concat(this.#parts);
		if (getDigest(bytes) !== this.#digest) {
			throw new ProtocolError(`The digest of version ${this.version} of the configuration is wrong.`);
		}

		return bytes;
	}
}
