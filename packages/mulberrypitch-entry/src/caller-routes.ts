/** HTTP handlers for callers: completions, calls of plain services, and reading an answer again. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {BodyStore} from '@mulberrypitch/lifecycle/body-store';
import {abortReason} from '@mulberrypitch/lifecycle/abort-reason';
import {decodePathPart} from '@mulberrypitch/lifecycle/path-part';
import {BadRequestError, NotFoundError, UnauthorizedError} from '@mulberrypitch/errors/catalogue';
import type {ServiceConfiguration, SharedConfiguration, Workspace} from '@mulberrypitch/config/types';
import {ends, type Outcome} from '@mulberrypitch/control/types';
import type {AcceptedRequest, AnswerEvent, IncomingCall} from '@mulberrypitch/requests/types';
import {getWorkspace} from './authentication.js';
import type {CallerRequests} from './measured-requests.js';
import type {OpenResponses} from './open-responses.js';
import {
	getStatus, parseJson, readBody, sendJson,
} from './http-reply.js';

const maxIdempotencyKeyLength = 200;
const maxDeadlineMs = 3_600_000;
/** Number of characters at the start of the prompt by which the router finds a prefix cache. */
const maxPrefixLength = 1024;
/** Maximum number of answer tokens of a completion that doesn't state one. */
const defaultMaxTokens = 1024;
const servicesPath = '/v1/services/';

/** Dependencies of the handlers. */
export type CallerContext = {
	readonly requests: CallerRequests;
	/** Holds the bodies of the requests that are being handled. */
	readonly bodies: BodyStore;
	/** The responses to accepted requests, for which a planned stop waits. */
	readonly responses: OpenResponses;
	readonly getConfiguration: () => SharedConfiguration;
};

/**
Handles a completion. Responds with server-sent events when the body has `"stream": true`, and with one JSON object otherwise.

@example
```
await answerCompletion(context, request, response, '/v1/chat/completions');
```
*/
export async function answerCompletion(context: CallerContext, request: IncomingMessage, response: ServerResponse, path: string): Promise<void> {
	const configuration = context.getConfiguration();
	const workspace = getWorkspace(request, configuration);
	const text = await readBody(request, context.bodies);
	const body = parseJson(text);
	const service = requireService(configuration, workspace, typeof body.model === 'string' ? body.model : '', 'engine');
	const accepted = await context.requests.submit({
		workspace,
		service,
		body: {
			method: 'POST', path, contentType: 'application/json', text,
		},
		...getIdempotencyKey(request),
		isIdempotent: true,
		deadlineMs: getDeadlineMs(request, service),
		prefix: getPrefix(body),
		maxTokens: typeof body.max_tokens === 'number' ? body.max_tokens : defaultMaxTokens,
	});
	context.responses.add(response);
	await (body.stream === true ? streamAnswer(accepted, response, 0) : sendCompletion(accepted, response));
}

/**
Handles a call of a plain service at `/v1/services/{service}/{path}`.

@example
```
await answerServiceCall(context, request, response);
```
*/
export async function answerServiceCall(context: CallerContext, request: IncomingMessage, response: ServerResponse): Promise<void> {
	const configuration = context.getConfiguration();
	const workspace = getWorkspace(request, configuration);
	const [name, ...segments] = request.url!.slice(servicesPath.length).split('/');
	const service = requireService(configuration, workspace, decodePathPart(name!), 'plain');
	const method = request.method === 'GET' ? 'GET' : 'POST';
	const call: IncomingCall = {
		workspace,
		service,
		body: {
			method, path: `/${segments.join('/')}`, contentType: request.headers['content-type'] ?? 'application/json', text: await readBody(request, context.bodies),
		},
		...getIdempotencyKey(request),
		isIdempotent: method === 'GET' || service.idempotentPaths.includes(segments[0]?.split('?')[0] ?? ''),
		deadlineMs: getDeadlineMs(request, service),
		prefix: '',
		maxTokens: 0,
	};
	const accepted = await context.requests.submit(call);
	context.responses.add(response);
	await sendPlain(accepted, response);
}

/**
Handles `GET /v1/requests/{id}`: streams the answer from the event after `Last-Event-ID`, or from its start without this header.
Any host can serve this, not only the one that accepted the request.

@example
```
await answerRead(context, request, response, requestId);
```
*/
export async function answerRead(context: CallerContext, request: IncomingMessage, response: ServerResponse, requestId: string): Promise<void> {
	const workspace = getWorkspace(request, context.getConfiguration());
	const accepted = await context.requests.getRequest(requestId, workspace.name);
	const lastEventId = request.headers['last-event-id'];
	const fromOffset = lastEventId === undefined ? 0 : Number(lastEventId) + 1;
	if (!Number.isSafeInteger(fromOffset) || fromOffset < 0) {
		throw new BadRequestError('Last-Event-ID must be the id of a received event, an integer from 0.');
	}

	context.responses.add(response);
	await streamAnswer(accepted, response, fromOffset);
}

function requireService(configuration: SharedConfiguration, workspace: Workspace, name: string, kind: ServiceConfiguration['kind']): ServiceConfiguration {
	const service = configuration.services.find(candidate => candidate.name === name && candidate.kind === kind);
	if (service === undefined) {
		throw new NotFoundError(
			`Service "${name}" does not exist or has another kind of interface.`,
			`Use one of: ${configuration.services.filter(candidate => candidate.kind === kind).map(candidate => candidate.name).join(', ')}.`,
		);
	}

	if (workspace.services.length > 0 && !workspace.services.includes(name)) {
		throw new UnauthorizedError(`Workspace "${workspace.name}" may not use service "${name}".`);
	}

	return service;
}

function getIdempotencyKey(request: IncomingMessage): {idempotencyKey?: string} {
	const key = request.headers['idempotency-key'];
	if (key === undefined) {
		return {};
	}

	if (typeof key !== 'string' || key === '' || key.length > maxIdempotencyKeyLength) {
		throw new BadRequestError(`Idempotency-Key must have 1 to ${maxIdempotencyKeyLength} characters.`);
	}

	return {idempotencyKey: key};
}

function getDeadlineMs(request: IncomingMessage, service: ServiceConfiguration): number {
	const header = request.headers['x-deadline-ms'];
	if (header === undefined) {
		return service.deadlineMs;
	}

	const deadlineMs = Number(header);
	if (!Number.isFinite(deadlineMs) || deadlineMs <= 0 || deadlineMs > maxDeadlineMs) {
		throw new BadRequestError(`X-Deadline-Ms must be a number above 0 and up to ${maxDeadlineMs}.`);
	}

	return deadlineMs;
}

function getPrefix(body: Record<string, unknown>): string {
	return JSON.stringify(body.messages ?? body.prompt ?? '').slice(0, maxPrefixLength);
}

async function streamAnswer(accepted: AcceptedRequest, response: ServerResponse, fromOffset: number): Promise<void> {
	response.writeHead(200, {
		'content-type': 'text/event-stream', 'cache-control': 'no-store', 'x-request-id': accepted.requestId,
	});
	response.flushHeaders();
	for await (const event of accepted.read(fromOffset, getCloseSignal(response))) {
		response.write(formatEvent(event, accepted.requestId));
	}

	response.end();
}

/** Formats an event of an answer as a server-sent event. The event id is the offset of the chunk. */
function formatEvent(event: AnswerEvent, requestId: string): string {
	if (event.kind === 'chunk') {
		const {offset, text} = event.chunk;
		const data = {id: requestId, object: 'chat.completion.chunk', choices: [{index: 0, delta: {content: text}}]};
		return `id: ${offset}\ndata: ${JSON.stringify(data)}\n\n`;
	}

	const {outcome} = event;
	if (outcome.end !== ends.answered) {
		return `event: error\ndata: ${JSON.stringify({error: createEndFailure(outcome)})}\n\n`;
	}

	return 'data: [DONE]\n\n';
}

async function sendCompletion(accepted: AcceptedRequest, response: ServerResponse): Promise<void> {
	response.setHeader('x-request-id', accepted.requestId);
	const {text, outcome} = await collectAnswer(accepted, response);
	if (outcome === undefined) {
		return;
	}

	if (outcome.end !== ends.answered) {
		sendEndFailure(response, outcome);
		return;
	}

	sendJson(response, 200, {
		id: accepted.requestId,
		object: 'chat.completion',
		// eslint-disable-next-line @typescript-eslint/naming-convention -- Name of the field in the OpenAI API.
		choices: [{index: 0, message: {role: 'assistant', content: text}, finish_reason: 'stop'}],
	});
}

async function sendPlain(accepted: AcceptedRequest, response: ServerResponse): Promise<void> {
	response.setHeader('x-request-id', accepted.requestId);
	const {text, outcome, head} = await collectAnswer(accepted, response);
	if (outcome === undefined) {
		return;
	}

	if (outcome.end !== ends.answered) {
		sendEndFailure(response, outcome);
		return;
	}

	response.writeHead(head?.status ?? 200, {'content-type': head?.contentType ?? 'application/octet-stream'});
	response.end(text);
}

/** A complete answer. The outcome is missing when the caller closed the connection before the end. */
type CollectedAnswer = {
	readonly text: string;
	readonly outcome?: Outcome;
	readonly head?: {readonly status: number; readonly contentType: string};
};

async function collectAnswer(accepted: AcceptedRequest, response: ServerResponse): Promise<CollectedAnswer> {
	let text = '';
	for await (const event of accepted.read(0, getCloseSignal(response))) {
		if (event.kind === 'end') {
			return {text, outcome: event.outcome, ...(event.head !== undefined && {head: event.head})};
		}

		text += event.chunk.text;
	}

	return {text};
}

function sendEndFailure(response: ServerResponse, outcome: Outcome): void {
	const failure = createEndFailure(outcome);
	if (outcome.retryAfterSeconds !== undefined) {
		response.setHeader('retry-after', String(outcome.retryAfterSeconds));
	}

	sendJson(response, getStatus(failure.code), {error: failure});
}

/** Returns the error body for a request that ended without an answer. */
function createEndFailure(outcome: Outcome): {code: string; end: string; message: string; retryAfterSeconds?: number} {
	const messages: Readonly<Record<string, string>> = {
		[ends.notRun]: 'The request did not run and will not run.',
		[ends.unknown]: 'The request may have run; check with the service before ordering again.',
		[ends.failed]: 'The request was given up on.',
	};
	return {
		code: outcome.code ?? outcome.end,
		end: outcome.end,
		message: messages[outcome.end] ?? outcome.end,
		...(outcome.retryAfterSeconds !== undefined && {retryAfterSeconds: outcome.retryAfterSeconds}),
	};
}

/** Returns a signal that aborts when the connection of a response closes. */
function getCloseSignal(response: ServerResponse): AbortSignal {
	const controller = new AbortController();
	response.once('close', () => {
		controller.abort(abortReason);
	});
	return controller.signal;
}
