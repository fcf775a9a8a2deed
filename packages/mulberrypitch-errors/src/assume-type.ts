/** The only unchecked type assertion of the code base. */

/**
Asserts the type of a value without checking it. Use it only for values that this program wrote itself, such as the content of
a checksummed file or the reply of a process of the same version. Validate external input and the parameters of calls with a
schema instead.

@example
```
const view = assumeType<View>(await callLeader('renew', renewal));
```
*/
export function assumeType<Value>(value: unknown): Value {
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	return value as Value;
}
