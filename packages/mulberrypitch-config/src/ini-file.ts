/** Parses and validates INI text. Errors name the file, section and key, and suggest the closest known name. */
import {parse} from 'ini';
import {closest, distance} from 'fastest-levenshtein';
import {type z} from 'zod';
import {SettingsError} from '@mulberrypitch/errors/catalogue';

/** Largest Levenshtein distance at which an error suggests a known name. */
const maxSuggestionDistance = 4;

/** Values by section and key. The names of nested sections are joined by dots, as in `service.advice`. */
export type Sections = Readonly<Record<string, Readonly<Record<string, string>>>>;

/**
Parses INI text into sections. Throws `SettingsError` for a key outside any section and for a key that is set as a list.

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
Validates one section against a schema and returns its typed values. Throws `SettingsError` for an unknown or
missing key or an invalid value.

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
		throw createUnknownNameError(`key "${unknown.keys[0]!}" in section [${section}]`, unknown.keys[0]!, Object.keys(schema.shape), file);
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
Creates the error for an unknown name. It suggests the closest known name, or lists all known names when none is close. The
message shows `description`; `name` is only compared with the known names.

@example
```
throw createUnknownNameError('section [hots]', 'hots', ['host'], 'host.ini');
```
*/
export function createUnknownNameError(description: string, name: string, known: readonly string[], file: string): SettingsError {
	const nearest = known.length === 0 ? undefined : closest(name, [...known]);
	const hasSuggestion = nearest !== undefined && distance(name, nearest) <= maxSuggestionDistance;
	return new SettingsError(
		`${file}: ${description} is not known.`,
		hasSuggestion ? `Did you mean "${nearest}"?` : `Known names: ${known.join(', ')}.`,
	);
}

/** Adds the keys of a parsed object to `sections`, and those of the objects nested in it. `prefix` is the section's name. */
function collectSections(values: Record<string, unknown>, prefix: string, sections: Record<string, Record<string, string>>, file: string): void {
	for (const [key, value] of Object.entries(values)) {
		const name = prefix === '' ? key : `${prefix}.${key}`;
		if (typeof value === 'object' && value !== null && !Array.isArray(value)) {
			sections[name] ??= {};
			collectSections({...value}, name, sections, file);
			continue;
		}

		if (prefix === '') {
			throw new SettingsError(`${file}: key "${key}" appears before the first section.`, 'Move it into a section.');
		}

		if (Array.isArray(value)) {
			throw new SettingsError(`${file}: section [${prefix}] sets "${key}" as a list.`, 'Write the values on one line, with commas.');
		}

		sections[prefix] ??= {};
		sections[prefix][key] = String(value);
	}

	// Removes a parent section that has no keys of its own.
	if (prefix !== '' && Object.values(values).every(value => typeof value === 'object') && Object.keys(values).length > 0 && Object.keys(sections[prefix] ?? {}).length === 0) {
		// `[service.advice]` makes the parser create a parent section `service`, which the text itself does not contain.
		// eslint-disable-next-line @typescript-eslint/no-dynamic-delete
		delete sections[prefix];
	}
}
