/** Messages by which an entry reads a configuration from a coordinator in parts. */

/** Name of the call that reads one part. */
export const configurationMethod = 'serving.configuration';

/** Asks for the part of an encoded configuration that begins at an offset. */
export type ConfigurationPartRequest = {
	readonly version: number;
	/** Version that the entry holds; zero if it has none. */
	readonly baseVersion: number;
	/** Position in bytes in the encoded form. */
	readonly offset: number;
};

/** A part of an encoded configuration. */
export type ConfigurationPart = {
	readonly version: number;
	/** Version to which the encoded change applies; zero if the whole configuration is encoded. */
	readonly baseVersion: number;
	/** Size of the encoded form in bytes. */
	readonly totalBytes: number;
	/** SHA-256 digest of the encoded form, in hexadecimal. */
	readonly digest: string;
	/** Position of the part in bytes. */
	readonly offset: number;
	/** The part in base64. */
	readonly data: string;
};
