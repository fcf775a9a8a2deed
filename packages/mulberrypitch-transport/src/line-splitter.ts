/** Splits a stream of bytes into lines. */
import {Buffer} from 'node:buffer';
import {StringDecoder} from 'node:string_decoder';
import {Transform, type TransformCallback} from 'node:stream';
import {ProtocolError} from '@mulberrypitch/errors/catalogue';

/**
Emits each line of the UTF-8 text written to it, without the line end. Fails with `ProtocolError` when a line is too long. Each chunk is
searched once, so that a long line that arrives in many chunks takes time linear in its length.
*/
export class LineSplitter extends Transform {
	readonly #decoder = new StringDecoder('utf8');
	readonly #maxLength: number;
	/** Pieces of the unfinished line, and their total length in characters. */
	#pieces: string[] = [];
	#length = 0;

	constructor(maxLength: number) {
		super({readableObjectMode: true});
		this.#maxLength = maxLength;
	}

	override _transform(chunk: Uint8Array, _encoding: string, done: TransformCallback): void {
		done(this.#split(this.#decoder.write(Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength))) ? null : new ProtocolError(`A line has more than ${this.#maxLength} characters.`));
	}

	override _flush(done: TransformCallback): void {
		const rest = this.#takeLine(this.#decoder.end());
		done(null, rest === '' ? undefined : rest);
	}

	/** Emits the lines that end in a text. Returns whether all lines have an acceptable length. */
	#split(text: string): boolean {
		let start = 0;
		for (let end = text.indexOf('\n'); end !== -1; end = text.indexOf('\n', start)) {
			if (this.#length + end - start > this.#maxLength) {
				return false;
			}

			this.push(this.#takeLine(text.slice(start, end)));
			start = end + 1;
		}

		if (start < text.length) {
			this.#pieces.push(text.slice(start));
			this.#length += text.length - start;
		}

		return this.#length <= this.#maxLength;
	}

	#takeLine(lastPiece: string): string {
		const line = this.#pieces.length === 0 ? lastPiece : this.#pieces.join('') + lastPiece;
		this.#pieces = [];
		this.#length = 0;
		return line.endsWith('\r') ? line.slice(0, -1) : line;
	}
}
