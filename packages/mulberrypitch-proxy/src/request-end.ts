/** Ends a request that no back end is tried for any more. */
import type {LastStep} from './attempt-outcome.js';
import type {ProxiedRequestOptions, RequestEnd} from './proxied-request-options.js';

/** Status that promises the caller that no back end has run the request. */
const refusedStatus = 503;

/**
Takes the last step of a request and returns how the request ended. The caller of this function sends a local reply.

@example
```
return endRequest({kind: 'reply', status: 502, reason: 'reset'}, options);
```
*/
export function endRequest(step: LastStep, {relay, service}: Pick<ProxiedRequestOptions, 'relay' | 'service'>): RequestEnd {
	switch (step.kind) {
		case 'deliver': {
			relay.deliver(step.answer.head, step.answer.body);
			return {kind: 'answered'};
		}

		case 'reply': {
			return step.status === refusedStatus ? {kind: 'refused', service, reason: step.reason} : {kind: 'replied', status: step.status, reason: step.reason};
		}

		case 'close': {
			relay.cut();
			return {kind: 'cut', reason: step.reason};
		}
	}
}
