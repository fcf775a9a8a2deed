/** The one place where a value gets a type without a check. */

/**
Types a value that this program itself wrote: a checksummed file, or the reply of a process of the same version.
Input from outside and parameters of calls go through a schema instead.

@example
```
const view = assumeType<View>(await callLeader('renew', renewal));
```
*/
export function assumeType<Value>(value: unknown): Value {
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	return value as Value;
}
