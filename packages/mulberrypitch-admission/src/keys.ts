/** Keys of the slots and limits that are split between hosts. */

const servicePrefix = 'service/';

/**
Returns the key of a service's slots.

@example
```
getServiceKey('advice'); // 'service/advice'
```
*/
export function getServiceKey(service: string): string {
	return `${servicePrefix}${service}`;
}

/**
Reports whether a key is that of a service's slots.

@example
```
isServiceKey('service/advice'); // true
```
*/
export function isServiceKey(key: string): boolean {
	return key.startsWith(servicePrefix);
}

/**
Returns the key of a customer's limit of requests in progress.

@example
```
getCustomerKey('clinics'); // 'customer/clinics'
```
*/
export function getCustomerKey(customer: string): string {
	return `customer/${customer}`;
}
