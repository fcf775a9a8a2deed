/** Prepares a caller's request for being sent: admits it, reads its body, and checks that its contents and the time left allow it. */
import type {IncomingMessage} from 'node:http';
import type {BodyStore} from '@mulberrypitch/lifecycle/body-store';
import type {RouteTable} from '@mulberrypitch/serving/route-table';
import type {Route, Workspace} from '@mulberrypitch/serving/types';
import {admitRequest} from './admission.js';
import {
	getDeadlineAt, getHeader, readBody, readPrompt, readStreamPosition, type Prompt, type StreamPosition,
} from './caller-request.js';
import {getContentFingerprints, type IdentifyingParts} from './content-fingerprints.js';
import type {RequestContent} from './content-quarantine.js';
import {minRetryAfterSeconds, type LocalReply} from './local-replies.js';
import {stoppingReason} from './proxied-request.js';
import type {ProxyServerOptions} from './proxy-server-options.js';
import type {StartupWait} from './startup-wait.js';
import type {StopWindow} from './stop-window.js';

/** A request that may be sent. */
export type PreparedRequest = {
	readonly table: RouteTable;
	readonly route: Route;
	readonly workspace: Workspace | undefined;
	/** Monotonic time in milliseconds by which the caller gets its final response. */
	readonly deadlineAt: number;
	readonly body: Uint8Array;
	readonly prompt: Prompt;
	readonly content: RequestContent;
	/** Where the caller takes a stream up again; absent if it begins one. */
	readonly position: StreamPosition | undefined;
};

/** The prepared request, or the reply to one that is not sent. */
export type Preparation
	= | {readonly kind: 'prepared'; readonly prepared: PreparedRequest}
		| {readonly kind: 'rejected'; readonly reply: LocalReply};

/** Dependencies of the preparation. */
export type RequestPreparationOptions = Pick<ProxyServerOptions, 'names' | 'clock' | 'quarantine'> & {
	readonly bodies: BodyStore;
	readonly startup: StartupWait;
	readonly stopWindow: StopWindow;
};

/** Prepares the requests of one entry. */
export class RequestPreparation {
	readonly #options: RequestPreparationOptions;

	constructor(options: RequestPreparationOptions) {
		this.#options = options;
	}

	/** Prepares a request, which arrived at the given monotonic time in milliseconds. */
	async prepare(request: IncomingMessage, arrivedAt: number): Promise<Preparation> {
		const {names, clock, startup, stopWindow, bodies} = this.#options;
		const table = await startup.waitForTable();
		if (table === undefined) {
			return reject({status: 503, reason: 'no configuration yet', retryAfterSeconds: minRetryAfterSeconds});
		}

		const admission = admitRequest(request, table);
		if (admission.kind === 'rejected') {
			return admission;
		}

		const {workspace, route} = admission;
		const deadlineAt = getDeadlineAt(request, names.deadline, {arrivedAt, timeoutMs: route.timeoutMs});
		const late = stopWindow.judge({attemptId: getHeader(request, names.attemptId), route, deadlineAt});
		if (late !== undefined) {
			return reject({
				status: 503, reason: stoppingReason, retryAfterSeconds: minRetryAfterSeconds, inputs: {route: route.name, ...late},
			});
		}

		const read = await readBody(request, {
			clock, bodies, maxBytes: table.configuration.limits.maxBodyBytes, maxWaitMs: deadlineAt - clock.now(),
		});
		if (read.kind !== 'whole') {
			return reject(bodyRefusals[read.kind]);
		}

		const {body} = read;
		const prompt = this.#readPrompt(request, route);
		const content = this.#trackContent(request, body, {workspace: workspace?.name, sharedParts: prompt.sharedParts});
		const position = readStreamPosition(request, names);
		const refusal = content.findRefusal(position !== undefined);
		if (refusal !== undefined) {
			return reject({
				status: 503, reason: refusal.reason, retryAfterSeconds: refusal.waitMs / 1000, inputs: {
					workspace: workspace?.name, sharedParts: prompt.sharedParts.join(' '), route: route.name,
				},
			});
		}

		return {
			kind: 'prepared', prepared: {
				table, route, workspace, deadlineAt, body, prompt, content, position,
			},
		};
	}

	#readPrompt(request: IncomingMessage, {hasSharedPrompts}: Route): Prompt {
		const {tokenCount, promptParts} = this.#options.names;
		return readPrompt(getHeader(request, tokenCount), hasSharedPrompts ? getHeader(request, promptParts) : undefined);
	}

	#trackContent({method, url}: IncomingMessage, body: Uint8Array, parts: Pick<IdentifyingParts, 'workspace' | 'sharedParts'>): RequestContent {
		return this.#options.quarantine.track(getContentFingerprints({
			...parts, method: method!, path: url!, body,
		}));
	}
}

/** Replies to requests whose bodies were not read to the end. */
const bodyRefusals = {
	late: {status: 408, reason: 'body late'},
	tooLong: {status: 413, reason: 'body too large'},
	crowded: {status: 503, reason: 'too many bodies at once', retryAfterSeconds: minRetryAfterSeconds},
} as const satisfies Record<string, LocalReply>;

function reject(reply: LocalReply): Preparation {
	return {kind: 'rejected', reply};
}
