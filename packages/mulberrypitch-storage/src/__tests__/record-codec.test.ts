/** Property tests of the record codec with random records and random damage. */
import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import t from 'tap';
import {decodeRecords, encodeRecord} from '../record-codec.js';

const seed = 1;
const record = fc.record({index: fc.nat(), text: fc.string({unit: 'binary'}), value: fc.jsonValue()});
const records = fc.array(record, {minLength: 1, maxLength: 8});

function encodeAll(values: readonly unknown[]): Uint8Array {
	return Buffer.concat(values.map(value => encodeRecord(value)));
}

await t.test('decodes what was encoded', async () => {
	fc.assert(fc.property(records, values => {
		const data = encodeAll(values);
		const decoded = decodeRecords(data, 'f', false);
		return decoded.lengthBytes === data.length && JSON.stringify(decoded.records) === JSON.stringify(values);
	}), {seed});
});

await t.test('decodes the complete records of a file that was truncated anywhere', async () => {
	fc.assert(fc.property(records, fc.double({min: 0, max: 1, noNaN: true}), (values, fraction) => {
		const data = encodeAll(values);
		const torn = data.subarray(0, Math.floor(data.length * fraction));
		const decoded = decodeRecords(torn, 'f', true);
		const complete = values.slice(0, decoded.records.length);
		return JSON.stringify(decoded.records) === JSON.stringify(complete) && decoded.lengthBytes === encodeAll(complete).length;
	}), {seed});
});

await t.test('never returns a changed record: decoding stops before it, or fails with file and offset', async () => {
	fc.assert(fc.property(records, fc.nat(), fc.integer({min: 1, max: 255}), fc.boolean(), (values, position, change, isLast) => {
		const data = encodeAll(values);
		const offset = position % data.length;
		data[offset] = (data[offset]! + change) % 256;
		try {
			const decoded = decodeRecords(data, 'f', isLast);
			return isLast && JSON.stringify(decoded.records) === JSON.stringify(values.slice(0, decoded.records.length));
		} catch (error) {
			return /^f is damaged at byte \d+/v.test(error instanceof Error ? error.message : '');
		}
	}), {seed});
});
