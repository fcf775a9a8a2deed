/** Names of what the hosts split. */

/**
Names the slots of a service.

@example
```
getServiceKey('advice'); // 'service/advice'
```
*/
export function getServiceKey(service: string): string {
	return `service/${service}`;
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
