/** The HTTP server of an entry host. */
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import polka, {type Polka} from 'polka';
import {BodyStore} from '@mulberrypitch/lifecycle/body-store';
import {breakOff} from '@mulberrypitch/lifecycle/break-off';
import {ClientConnections} from '@mulberrypitch/lifecycle/client-connections';
import {defaultClientLimits} from '@mulberrypitch/lifecycle/client-limits';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import {listenOn, splitAddress} from '@mulberrypitch/lifecycle/listen';
import type {Random} from '@mulberrypitch/lifecycle/random';
import type {Resource} from '@mulberrypitch/lifecycle/disposable-store';
import {
	BadRequestError, codes, NoConfigurationError, NotFoundError,
} from '@mulberrypitch/errors/catalogue';
import {CodedError, getMessage, hasCode} from '@mulberrypitch/errors/coded-error';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import {validateConfigurationFiles} from '@mulberrypitch/config/shared-configuration';
import type {HostSettings, SharedConfiguration} from '@mulberrypitch/config/types';
import type {ControlClient} from '@mulberrypitch/control/control-client';
import type {ReplicaStatus} from '@mulberrypitch/control/types';
import {BurnRecorder} from '@mulberrypitch/metrics/burn-recorder';
import type {MetricsRegistry} from '@mulberrypitch/metrics/registry';
import type {RequestService} from '@mulberrypitch/requests/request-service';
import {getAccountPosition} from './account-position.js';
import {requireToken} from './authentication.js';
import type {BackendDirectory} from './backend-directory.js';
import {
	answerCompletion, answerRead, answerServiceCall, type CallerContext,
} from './caller-routes.js';
import {rankEntries} from './entry-ranking.js';
import {
	parseJson, readBody, sendFailure, sendJson, toFailure,
} from './http-reply.js';
import {MeasuredRequests} from './measured-requests.js';
import {OpenResponses} from './open-responses.js';
import {
	announcementSchema, configurationChangeSchema, type EntryList,
} from './types.js';

const headersTimeoutMs = 10_000;
const requestTimeoutMs = 30_000;
const maxHeaderBytes = 16 * 1024;
const maxHeaderCount = 64;
/** Timeout of calls to the leader of the control group (the replicas that hold the control state), in milliseconds. */
const controlTimeoutMs = 2000;
const temporaryRedirect = 307;
/** Time until open connections are closed by force, counted from when the server stops accepting new ones, in milliseconds. */
const forcedCloseDelayMs = 1000;

/** Dependencies of an `EntryServer`. */
export type EntryServerOptions = {
	readonly settings: HostSettings;
	readonly control: ControlClient;
	readonly requests: RequestService;
	readonly backends: BackendDirectory;
	readonly metrics: MetricsRegistry;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	/** Reports whether requests wait so long on this host that callers should prefer others. */
	readonly isOverloaded: () => boolean;
	/** Returns the number of requests that run or wait on a host, as last reported to this host. */
	readonly getDemand: (node: string) => number;
	/** Returns the configuration in force, or `undefined` before the first one has arrived. */
	readonly getConfiguration: () => SharedConfiguration | undefined;
	/** Called when an operator asks this host to drain. The host then calls `drain` of this server and of the request service. */
	readonly onDrain: () => void;
};

/** Handles one HTTP request. */
type Route = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/** Serves the HTTP interface for callers, back ends and operators. */
export class EntryServer implements Resource {
	readonly #options: EntryServerOptions;
	readonly #server: http.Server;
	readonly #callerContext: CallerContext;
	readonly #burn: BurnRecorder;
	readonly #responses: OpenResponses;
	readonly #bodies = new BodyStore(defaultClientLimits);
	#isDraining = false;

	constructor(options: EntryServerOptions) {
		this.#options = options;
		this.#burn = new BurnRecorder(options.clock);
		this.#responses = new OpenResponses(options.clock);
		this.#callerContext = {
			requests: new MeasuredRequests(options.requests, this.#burn, options.clock),
			responses: this.#responses,
			bodies: this.#bodies,
			// Unlike the option of the same name, this throws `NoConfigurationError` before the first configuration has arrived.
			getConfiguration: () => this.#requireConfiguration(),
		};
		this.#server = http.createServer({maxHeaderSize: maxHeaderBytes, requireHostHeader: false});
		this.#server.maxHeadersCount = maxHeaderCount;
		this.#server.headersTimeout = headersTimeoutMs;
		this.#server.requestTimeout = requestTimeoutMs;
		const app = polka({
			server: this.#server, onNoMatch(_request: IncomingMessage, response: ServerResponse) {
				sendFailure(response, new NotFoundError('This path does not exist.', 'Check the path against the list in docs/OPERATIONS.md.'));
			},
		});
		this.#addCallerRoutes(app);
		this.#addOperatorRoutes(app);
		this.#server.on('request', (_request, response) => {
			if (this.#isDraining) {
				response.setHeader('connection', 'close');
			}
		});
		// Polka attaches its handler in its own `listen()`, which is not used here, so the handler is attached explicitly.
		const connections = new ClientConnections(defaultClientLimits);
		connections.watch(this.#server);
		this.#server.on('request', connections.limit(assumeType<http.RequestListener>(app.handler)));
	}

	/** Number of answers that callers are receiving, whichever host holds the request. */
	get openResponses(): number {
		return this.#responses.countReceiving();
	}

	/** Starts listening. Resolves with the port in use. */
	async listen(): Promise<number> {
		const {host, port} = splitAddress(this.#options.settings.httpListen);
		return listenOn(this.#server, host, port);
	}

	/**
	Removes this host from the list of entry hosts that it sends, makes `/readyz` report it as not ready, and asks callers to close their
	connections. Requests in progress continue; the request service, which the host drains too, refuses new ones.
	*/
	drain(): void {
		this.#isDraining = true;
	}

	async dispose(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
			this.#server.closeIdleConnections();
			setTimeout(() => {
				this.#server.closeAllConnections();
			}, forcedCloseDelayMs).unref();
		});
	}

	#addCallerRoutes(app: Polka): void {
		for (const path of ['/v1/chat/completions', '/v1/completions']) {
			this.#addRoute(app, 'POST', path, async (request, response) => answerCompletion(this.#callerContext, request, response, path));
		}

		const answerService: Route = async (request, response) => answerServiceCall(this.#callerContext, request, response);
		this.#addRoute(app, 'GET', '/v1/services/*', answerService);
		this.#addRoute(app, 'POST', '/v1/services/*', answerService);
		this.#addRoute(app, 'GET', '/v1/requests/:id', async (request, response) => answerRead(this.#callerContext, request, response, getLastSegment(request)));
		this.#addRoute(app, 'GET', '/v1/entries', async (_request, response) => {
			sendJson(response, 200, this.#listEntries());
		});
		this.#addRoute(app, 'POST', '/v1/announce', async (request, response) => this.#announce(request, response));
		this.#addRoute(app, 'GET', '/healthz', async (_request, response) => {
			sendJson(response, 200, {status: 'ok'});
		});
		this.#addRoute(app, 'GET', '/readyz', async (_request, response) => {
			const isReady = this.#isReady();
			sendJson(response, isReady ? 200 : 503, {status: isReady ? 'ready' : 'not ready'});
		});
		this.#addRoute(app, 'GET', '/metrics', async (_request, response) => {
			response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
			response.end(this.#options.metrics.write());
		});
	}

	#addOperatorRoutes(app: Polka): void {
		const add = (method: 'GET' | 'POST', path: string, route: Route) => {
			this.#addRoute(app, method, path, async (request, response) => {
				requireToken(request, this.#options.settings.operatorToken);
				await route(request, response);
			});
		};

		add('POST', '/v1/admin/configuration', async (request, response) => this.#applyConfiguration(request, response));
		// The leader's overview holds the configuration in force, if there is one, and the head of the audit log.
		add('GET', '/v1/admin/configuration', async (_request, response) => this.#sendLeaderReply(response, 'overview', {}));
		add('GET', '/v1/admin/status', async (_request, response) => this.#sendStatus(response));
		add('GET', '/v1/admin/account', async (request, response) => {
			await this.#sendLeaderReply(response, 'account', {from: getAccountPosition(request.url!)});
		});
		add('GET', '/v1/admin/burn', async (_request, response) => {
			sendJson(response, 200, {series: this.#burn.capture()});
		});
		add('POST', '/v1/admin/drain', async (_request, response) => {
			this.#options.onDrain();
			sendJson(response, 202, {status: 'draining'});
		});
	}

	#addRoute(app: Polka, method: 'GET' | 'POST', path: string, route: Route): void {
		app.add(method, path, async (request, response) => {
			try {
				await route(request, response);
			} catch (error) {
				this.#handleError(request, response, error);
			} finally {
				this.#bodies.release(request);
			}
		});
	}

	/**
	Counts and logs an error. Destroys the response if its headers were sent already. Otherwise redirects the caller if the error has the
	code `draining` and another entry host is listed, and sends the error in all other cases.
	*/
	#handleError(request: IncomingMessage, response: ServerResponse, error: unknown): void {
		const {logger, metrics} = this.#options;
		const {code} = toFailure(error);
		metrics.count('mulberrypitch_requests_refused_total', 'Requests refused by code.', {code});
		logger.log(events.requestRefused, {code, reason: getMessage(error)});
		if (response.headersSent) {
			breakOff(response);
			return;
		}

		if (!request.complete) {
			// The server would go on to read the rest of the body.
			response.setHeader('connection', 'close');
		}

		const otherEntry = this.#listEntries().entries[0];
		if (hasCode(error, codes.draining) && otherEntry !== undefined) {
			response.writeHead(temporaryRedirect, {location: createLocation(otherEntry.address, request)});
			response.end();
			return;
		}

		sendFailure(response, error);
	}

	#requireConfiguration(): SharedConfiguration {
		const configuration = this.#options.getConfiguration();
		if (configuration === undefined) {
			throw new NoConfigurationError();
		}

		return configuration;
	}

	#isReady(): boolean {
		return !this.#isDraining && this.#options.control.isFresh() && this.#options.getConfiguration() !== undefined;
	}

	#listEntries(): EntryList {
		const {control, random, settings} = this.#options;
		const entries = control.sessions
			.filter(session => session.node !== settings.name || this.#isReady())
			.map(session => ({
				address: session.publicAddress,
				zone: session.zone,
				isDraining: session.isDraining,
				isOverloaded: session.node === settings.name && this.#options.isOverloaded(),
				demand: this.#options.getDemand(session.node),
			}));
		return {entries: rankEntries(entries, random), ttlSeconds: settings.entriesTtlSeconds};
	}

	/** Handles the announcement of a back end. Replies with the list of entry hosts. */
	async #announce(request: IncomingMessage, response: ServerResponse): Promise<void> {
		requireToken(request, this.#options.settings.backendToken);
		const parsed = announcementSchema.safeParse(parseJson(await readBody(request, this.#bodies)));
		if (!parsed.success) {
			const issue = parsed.error.issues[0]!;
			throw new BadRequestError(`Field "${issue.path.join('.')}": ${issue.message}.`);
		}

		await this.#options.backends.announce(parsed.data);
		sendJson(response, 200, this.#listEntries());
	}

	async #applyConfiguration(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const parsed = configurationChangeSchema.safeParse(parseJson(await readBody(request, this.#bodies)));
		if (!parsed.success) {
			const issue = parsed.error.issues[0]!;
			throw new BadRequestError(`Field "${issue.path.join('.')}": ${issue.message}.`);
		}

		const {base, overlays, ...change} = parsed.data;
		const files = {base, overlays};
		// With an empty set of known sites, the names of the overlays are not checked.
		const accepted = await this.#options.control.propose({
			kind: 'applyConfiguration', ...change, digest: validateConfigurationFiles(files, new Set()), files,
		});
		sendJson(response, 200, accepted);
	}

	async #sendLeaderReply(response: ServerResponse, method: string, parameters: unknown): Promise<void> {
		sendJson(response, 200, await this.#options.control.callLeader(method, parameters, controlTimeoutMs));
	}

	async #sendStatus(response: ServerResponse): Promise<void> {
		const {control, settings, requests} = this.#options;
		let leader: ReplicaStatus | undefined;
		try {
			leader = await control.callLeader<ReplicaStatus>('status', {}, controlTimeoutMs);
		} catch (error) {
			if (!hasCode(error, codes.timeout) && !hasCode(error, codes.peerUnreachable)) {
				throw error;
			}
		}

		sendJson(response, 200, {
			node: settings.name,
			isReady: this.#isReady(),
			revision: control.revision,
			running: requests.running,
			copies: requests.copies,
			sessions: control.sessions,
			backends: control.backends,
			leader,
		});
	}
}

/** Returns the address of a request at another host. That of the host may have letters that no header can carry; a URL has them in ASCII. */
function createLocation(address: string, request: IncomingMessage): string {
	const {href} = new URL(address);
	return `${href.endsWith('/') ? href.slice(0, -1) : href}${request.url}`;
}

function getLastSegment(request: IncomingMessage): string {
	return request.url!.split('?')[0]!.split('/').pop()!;
}
