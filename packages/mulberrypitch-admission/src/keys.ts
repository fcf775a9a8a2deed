/** Names of what the hosts split. */

const servicePart = 'service/';

/**
Names the slots of a service.

@example
```
getServiceKey('advice'); // 'service/advice'
```
*/
export function getServiceKey(service: string): string {
	return `${servicePart}${service}`;
}

/**
Tells whether a key names the slots of a service.

@example
```
isServiceKey('service/advice'); // true
```
*/
export function isServiceKey(key: string): boolean {
	return key.startsWith(servicePart);
}

/**
Names the limit of a customer.

@example
```
getCustomerKey('clinics'); // 'customer/clinics'
```
*/
export function getCustomerKey(customer: string): string {
	return `customer/${customer}`;
}
