/** Takes the units of a request from the quota of its workspace. */
import type {IncomingMessage} from 'node:http';
import {getHeader, getQuotaUnits} from './caller-request.js';
import type {LocalReply} from './local-replies.js';
import type {ProxyServerOptions} from './proxy-server-options.js';
import type {PreparedRequest} from './request-preparation.js';

/** The units that a request took, or the reply to one that is beyond the quota. */
export type TakenUnits = {
	/** Zero for a request without a workspace. */
	readonly units: number;
	/** Absent if the units were taken. */
	readonly refusal?: LocalReply;
};

/**
Takes the units of a request from the quota of its workspace.

@example
```
const {units, refusal} = takeQuota(request, prepared, {quotas, names});
```
*/
export function takeQuota(request: IncomingMessage, {workspace, route, position}: PreparedRequest, {quotas, names}: Pick<ProxyServerOptions, 'quotas' | 'names'>): TakenUnits {
	if (workspace === undefined) {
		return {units: 0};
	}

	const units = getQuotaUnits(workspace, getHeader(request, names.tokenCount));
	const waitSeconds = quotas.take(workspace, {units, isUrgent: route.priority === 0});
	if (waitSeconds <= 0) {
		return {units};
	}

	return {
		units, refusal: {
			status: 429, reason: 'quota used up', retryAfterSeconds: waitSeconds, inputs: {
				workspace: workspace.name, units, quotaLevel: quotas.getLevel(workspace), ...quotas.getFacts(workspace), route: route.name, resumes: position?.attemptId,
			},
		},
	};
}
