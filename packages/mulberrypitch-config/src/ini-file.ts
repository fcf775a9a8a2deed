/** Reads INI texts against a schema, with errors that name file, section, key and the nearest known key. */
import {parse} from 'ini';
import {closest, distance} from 'fastest-levenshtein';
import {type z} from 'zod';
import {SettingsError} from '@mulberrypitch/errors/catalogue';

const maxDistance = 4;

/** Sections and keys of one text; nested sections are joined by a dot. */
export type Sections = Readonly<Record<string, Readonly<Record<string, string>>>>;

/**
Splits an INI text into sections.

@example
```
const sections = parseSections('[host]\nname = a', 'host.ini');
```
*/
export function parseSections(text: string, file: string): Sections {
	const sections: Record<string, Record<string, string>> = {};
	collectSections(parse(text), '', sections, file);
	return sections;
}

/**
Checks one section and gives its typed values.

@example
```
const retry = parseSection(retrySchema, sections.retry ?? {}, 'base.ini', 'retry');
```
*/
export function parseSection<Schema extends z.ZodObject>(schema: Schema, values: Readonly<Record<string, string>>, file: string, section: string): z.infer<Schema> {
	const parsed = schema.safeParse(values);
	if (parsed.success) {
		return parsed.data;
	}

	const unknown = parsed.error.issues.find(candidate => candidate.code === 'unrecognized_keys');
	if (unknown !== undefined) {
		throw createUnknownError(`key "${unknown.keys[0]!}" in section [${section}]`, unknown.keys[0]!, Object.keys(schema.shape), file);
	}

	const issue = parsed.error.issues[0]!;

	const key = issue.path.join('.');
	const value = values[key];
	throw new SettingsError(
		value === undefined ? `${file}: section [${section}] lacks "${key}".` : `${file}: section [${section}], key "${key}" can't be "${value}": ${issue.message}.`,
		`Set "${key}" in section [${section}].`,
	);
}

/**
Builds the error for a name that is not known, with the nearest one that is.

@example
```
throw createUnknownError('section [hots]', 'hots', ['host'], 'host.ini');
```
*/
export function createUnknownError(what: string, name: string, known: readonly string[], file: string): SettingsError {
	const nearest = known.length === 0 ? undefined : closest(name, [...known]);
	const isNear = nearest !== undefined && distance(name, nearest) <= maxDistance;
	return new SettingsError(
		`${file}: ${what} is not known.`,
		isNear ? `Did you mean "${nearest}"?` : `Known names: ${known.join(', ')}.`,
	);
}

function collectSections(values: Record<string, unknown>, prefix: string, sections: Record<string, Record<string, string>>, file: string): void {
	for (const [key, value] of Object.entries(values)) {
		const name = prefix === '' ? key : `${prefix}.${key}`;
		if (typeof value === 'object' && value !== null && !Array.isArray(value)) {
			sections[name] ??= {};
			collectSections({...value}, name, sections, file);
			continue;
		}

		if (prefix === '') {
			throw new SettingsError(`${file}: key "${key}" stands before any section.`, 'Move it into a section.');
		}

		if (Array.isArray(value)) {
			throw new SettingsError(`${file}: section [${prefix}] sets "${key}" as a list.`, 'Write the values on one line, with commas.');
		}

		sections[prefix] ??= {};
		sections[prefix][key] = String(value);
	}

	if (prefix !== '' && Object.values(values).every(value => typeof value === 'object') && Object.keys(values).length > 0 && Object.keys(sections[prefix] ?? {}).length === 0) {
		// A section that only holds other sections was never written itself.
		// eslint-disable-next-line @typescript-eslint/no-dynamic-delete
		delete sections[prefix];
	}
}
