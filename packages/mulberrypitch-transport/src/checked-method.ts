/** Puts the check of parameters in front of a method. */
import {getMessage} from '@mulberrypitch/errors/coded-error';
import {ProtocolError} from '@mulberrypitch/errors/catalogue';
import type {Method, Schema} from './types.js';

/**
Gives a method that refuses parameters that its schema does not allow.

@example
```
methods.set('renew', createCheckedMethod('renew', renewalSchema, onRenew));
```
*/
export function createCheckedMethod<Parameters>(name: string, schema: Schema<Parameters>, answer: Method<Parameters>): Method<unknown> {
	return async (value, from) => answer(check(name, schema, value), from);
}

function check<Parameters>(name: string, schema: Schema<Parameters>, value: unknown): Parameters {
	try {
		return schema.parse(value);
	} catch (error) {
		throw new ProtocolError(`Parameters of ${name} are not valid: ${getMessage(error)}`);
	}
}
