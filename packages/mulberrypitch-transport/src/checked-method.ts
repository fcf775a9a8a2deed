/** Parameter validation for methods of a transport. */
import {getMessage} from '@mulberrypitch/errors/coded-error';
import {ProtocolError} from '@mulberrypitch/errors/catalogue';
import type {Method, Schema} from './types.js';

/**
Returns a method that validates its parameters before it calls the handler. The method throws `ProtocolError` when the parameters
are not valid.

@example
```
methods.set('renew', createCheckedMethod('renew', renewalSchema, onRenew));
```
*/
export function createCheckedMethod<Parameters>(name: string, schema: Schema<Parameters>, handler: Method<Parameters>): Method<unknown> {
	return async (value, from) => handler(check(name, schema, value), from);
}

function check<Parameters>(name: string, schema: Schema<Parameters>, value: unknown): Parameters {
	try {
		return schema.parse(value);
	} catch (error) {
		throw new ProtocolError(`Parameters of ${name} are not valid: ${getMessage(error)}`);
	}
}
