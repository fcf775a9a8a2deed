/** The schema of messages that are answered and not kept. */
import {assumeType} from '@mulberrypitch/errors/assume-type';
import type {Schema} from '@mulberrypitch/transport/types';

/**
Returns a schema that accepts any value.

@example
```
transport.handle(methods.read, unchecked<Record<string, never>>(), async () => reply);
```
*/
export function unchecked<Parameters>(): Schema<Parameters> {
	return {parse: value => assumeType<Parameters>(value)};
}
