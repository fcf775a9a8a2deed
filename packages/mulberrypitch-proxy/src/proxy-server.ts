/** The HTTP server for callers, which admits their requests and handles each one as a `ProxiedRequest`. */
import type http from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {breakOff} from '@mulberrypitch/lifecycle/break-off';
import {BodyStore} from '@mulberrypitch/lifecycle/body-store';
import {ClientConnections} from '@mulberrypitch/lifecycle/client-connections';
import type {Resource} from '@mulberrypitch/lifecycle/disposable-store';
import {listenOn, splitAddress} from '@mulberrypitch/lifecycle/listen';
import {getMessage} from '@mulberrypitch/errors/coded-error';
import {events} from '@mulberrypitch/logger/events';
import type {ServicePressure} from '@mulberrypitch/serving/view-messages';
import {RequestCompletion} from './request-completion.js';
import type {Header} from './response-head.js';
import type {BackendPermit} from './backend-place.js';
import type {BackendFilter} from './backend-view.js';
import {ResponseRelay} from './response-relay.js';
import {ResponseTiming} from './response-timing.js';
import {getHeader, getHeaders} from './caller-request.js';
import {applyCallerLimits, createCallerServer} from './caller-server.js';
import {watchCaller} from './caller-watch.js';
import {LocalReplies} from './local-replies.js';
import {ProxiedRequest} from './proxied-request.js';
import type {RequestVersions} from './request-versions.js';
import {RequestPreparation, type PreparedRequest} from './request-preparation.js';
import {takeQuota} from './quota-claim.js';
import {RequestForwarding} from './request-forwarding.js';
import {RequestOrder} from './request-order.js';
import {RequestsInProgress} from './requests-in-progress.js';
import type {DecisionContext, RequestEnd} from './proxied-request-options.js';
import type {ProxyServerOptions} from './proxy-server-options.js';
import {chooseService} from './service-choice.js';
import {ServiceTraffics} from './service-traffics.js';
import {StartupWait} from './startup-wait.js';
import {StreamBinding} from './stream-binding.js';
import {StreamResumption} from './stream-resumption.js';
import {StopWindow} from './stop-window.js';

/** Lowest status of a response that is no success. */
const firstFailureStatus = 300;

/** Accepts callers' connections until it is disposed of. */
export class ProxyServer implements Resource {
	readonly #options: ProxyServerOptions;
	readonly #server: http.Server;
	readonly #services: ServiceTraffics;
	readonly #replies: LocalReplies;
	readonly #completion: RequestCompletion;
	readonly #connections: ClientConnections;
	readonly #bodies: BodyStore;
	readonly #startup: StartupWait;
	readonly #requests = new RequestsInProgress();
	readonly #order = new RequestOrder();
	readonly #stopWindow: StopWindow;
	readonly #resumption: StreamResumption;
	readonly #preparation: RequestPreparation;
	readonly #forwarding: RequestForwarding;
	#isDraining = false;

	constructor(options: ProxyServerOptions) {
		const {names, random, logger, metrics} = options;
		this.#options = options;
		this.#connections = new ClientConnections(options.clientLimits);
		this.#bodies = new BodyStore(options.clientLimits);
		this.#startup = new StartupWait(options.clock, options.getTable);
		this.#services = new ServiceTraffics(options);
		this.#stopWindow = new StopWindow(options.clock, logger, route => {
			const now = options.clock.now();
			return this.#requests.listArrivals(route).map(arrivedAt => now - arrivedAt);
		});
		this.#preparation = new RequestPreparation({
			...options, startup: this.#startup, stopWindow: this.#stopWindow, bodies: this.#bodies,
		});
		this.#forwarding = new RequestForwarding({...options, getConnectionHeaders: response => this.#getConnectionHeaders(response)});
		this.#resumption = new StreamResumption(options);
		this.#replies = new LocalReplies({
			names,
			random,
			logger,
			metrics,
			getDecisionContext: () => this.#getDecisionContext(),
			getConnectionHeaders: response => this.#getConnectionHeaders(response),
		});
		this.#completion = new RequestCompletion({
			...options,
			replies: this.#replies,
			onEnded: (route, ms, isWhole) => {
				this.#stopWindow.record(route, ms, isWhole);
			},
			onRefused: service => {
				this.#services.get(service).recordRefused();
			},
		});
		this.#server = createCallerServer({
			connections: this.#connections,
			onRequest: (request, response) => {
				void this.#handle(request, response);
			},
			onMalformed: (error, socket) => {
				this.#replies.rejectMalformed(error, socket);
			},
		});
	}

	/** Number of callers' requests in progress. */
	get running(): number {
		return this.#requests.size;
	}

	/** Number of open connections of callers. */
	get connectionCount(): number {
		return this.#connections.size;
	}

	/** Bytes of memory that the bodies of callers' requests take. */
	get bodyBytes(): number {
		return this.#bodies.heldBytes;
	}

	/** Starts to listen, and resolves with the port. */
	async listen(): Promise<number> {
		const {listen, listener} = this.#options;
		if (listener !== undefined) {
			return listener.handOver(this.#server);
		}

		const {host, port} = splitAddress(listen);
		return listenOn(this.#server, host, port);
	}

	/** Returns the load of each service, for the coordinators. */
	getPressure(): Readonly<Record<string, ServicePressure>> {
		return this.#services.getPressure();
	}

	/**
	Applies the timeouts of the current configuration, and grants the permits that a change of the configuration or of the back
	ends has made free.
	*/
	refresh(): void {
		this.#startup.refresh();
		applyCallerLimits(this.#server, this.#options.getTable()?.configuration.limits);
		this.#services.grantPermits();
	}

	/**
	From now on, adds `Connection: close` to responses, so that callers reconnect to another entry, and refuses requests that may not
	end within the given time, at whose end the process cuts off what still runs.
	*/
	drain(durationMs: number): void {
		this.#isDraining = true;
		this.#stopWindow.begin(durationMs);
	}

	/** Logs the requests that the end of a stop cuts off. */
	logCutOff(): void {
		const {clock, logger} = this.#options;
		for (const {attemptId, arrivedAt} of this.#requests.list()) {
			logger.log(events.requestFailed, {
				request: attemptId, reason: 'the entry stopped', ms: Math.round(clock.now() - arrivedAt), isCut: true,
			});
		}
	}

	/** Closes connections without a request in progress. */
	closeIdle(): void {
		this.#server.closeIdleConnections();
	}

	/** Stops listening and closes all connections. */
	async dispose(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
			this.#requests.breakOff();
			this.#connections.closeAll();
		});
	}

	async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const {clock, logger} = this.#options;
		const arrivedAt = clock.now();
		this.#requests.add(response, {attemptId: this.#getAttemptId(request), arrivedAt});
		try {
			if (await this.#order.waitForTurn(response)) {
				await (this.#forwarding.isTaken(request) ? this.#serveTaken(request, response, arrivedAt) : this.#serve(request, response, arrivedAt));
			}
		} catch (error) {
			logger.log(events.requestFailed, {request: this.#getAttemptId(request), reason: getMessage(error)});
			// A complete response that is being written is not cut off by a later error.
			if (!response.writableEnded) {
				breakOff(response);
			}
		} finally {
			this.#requests.remove(response);
			this.#bodies.release(request);
		}
	}

	/** Serves a request that another entry has passed on. */
	async #serveTaken(request: IncomingMessage, response: ServerResponse, arrivedAt: number): Promise<void> {
		const refusal = this.#forwarding.take();
		if (refusal !== undefined) {
			this.#replies.send(request, response, refusal);
			return;
		}

		try {
			await this.#serve(request, response, arrivedAt);
		} finally {
			this.#forwarding.release();
		}
	}

	async #serve(request: IncomingMessage, response: ServerResponse, arrivedAt: number): Promise<void> {
		const preparation = await this.#preparation.prepare(request, arrivedAt);
		if (preparation.kind === 'rejected') {
			this.#replies.send(request, response, preparation.reply);
			return;
		}

		const {prepared} = preparation;
		const {workspace, route, deadlineAt, position} = prepared;
		const timing = new ResponseTiming(this.#options.clock, arrivedAt);
		const facts = {
			arrivedAt, route: route.name, workspace: workspace?.name, resumes: position?.attemptId,
		};
		const isTaken = this.#forwarding.isTaken(request);
		const signal = watchCaller(response);
		this.#requests.setRoute(response, route.name);
		if (this.#forwarding.isCutOff && !isTaken) {
			const end = await this.#forwarding.passOn({
				request, response, prepared, timing, signal, service: chooseService(route, this.#options.random),
			});
			this.#completion.complete(request, response, end, {...facts, ...timing.read()});
			return;
		}

		const resumption = await this.#resumption.resolve(position, route, deadlineAt - this.#options.clock.now());
		if (resumption.kind === 'refused') {
			this.#replies.send(request, response, resumption.reply);
			return;
		}

		const claim = takeQuota(request, prepared, this.#options);
		if (claim.refusal !== undefined) {
			this.#replies.send(request, response, claim.refusal);
			return;
		}

		const {origin} = resumption;
		const service = origin?.service ?? chooseService(route, this.#options.random);
		const binding = new StreamBinding(origin?.version);
		const versions = this.#options.rollouts.begin({
			service, route: route.name, attemptId: this.#getAttemptId(request), deadlineAt, binding,
		});
		timing.observe(at => {
			versions.recordPart(at);
		});
		const relay = new ResponseRelay(response, {
			isResumable: route.isResumable,
			timing,
			onStarted: () => {
				binding.bind();
				this.#resumption.recordBegun({
					attemptId: this.#getAttemptId(request), route, position, service, version: binding.version,
				});
			},
			getExtraHeaders: () => this.#getConnectionHeaders(response),
		});
		const ownEnd = await this.#run(request, response, {
			...prepared, arrivedAt, service, relay, binding, versions, signal,
		});
		if (ownEnd.kind === 'refused' && workspace !== undefined) {
			this.#options.quotas.refund(workspace, claim.units);
		}

		const isPassedOn = ownEnd.kind === 'refused' && ownEnd.isUnreachable === true && !isTaken;
		if (isPassedOn) {
			this.#options.retries.withdraw(service);
		}

		const end = isPassedOn
			? await this.#forwarding.passOn({
				request, response, prepared, timing, signal, service,
			})
			: ownEnd;
		this.#completion.complete(request, response, end, {...facts, ...timing.read(), ...relay.getBodyFacts()});
	}

	async #run(request: IncomingMessage, response: ServerResponse, admitted: PreparedRequest & {
		readonly arrivedAt: number;
		readonly service: string;
		readonly relay: ResponseRelay;
		readonly binding: StreamBinding;
		readonly versions: RequestVersions;
		readonly signal: AbortSignal;
	}): Promise<RequestEnd> {
		const {
			names, clock, logger, retries, usage, metrics, backends,
		} = this.#options;
		const {
			body, arrivedAt, deadlineAt, route, service, position, workspace, table, relay, binding, versions, prompt, content, signal,
		} = admitted;
		const isMatching: BackendFilter = (backend, serving) => versions.isMatching(backend, serving);
		const traffic = this.#services.get(service);
		if (response.destroyed) {
			return {kind: 'abandoned'};
		}

		const priority = workspace?.priority ?? route.priority;
		let permit: BackendPermit | undefined;
		retries.add(service);
		traffic.add(prompt);
		const proxied = new ProxiedRequest({
			attemptId: this.#getAttemptId(request),
			caller: {method: request.method!, path: request.url!, headers: getHeaders(request)},
			body,
			route,
			service,
			workspace: workspace?.name,
			priority,
			prompt,
			position,
			content,
			dropsKey: table.requiresKeys,
			deadlineAt,
			relay,
			binding,
			names,
			clock,
			logger,
			signal,
			place: async excludedIds => {
				permit = await traffic.place({
					service: table.getService(service),
					route,
					workspace: workspace?.name,
					attemptId: this.#getAttemptId(request),
					prompt,
					priority,
					excludedIds,
					isMatching,
					arrivedAt,
					deadlineAt: versions.isOver ? clock.now() : deadlineAt,
					signal,
				});
				return permit;
			},
			isTooLate: () => this.#stopWindow.findLate(route, deadlineAt) !== undefined,
			hasCandidates: () => backends.getCandidates(service, isMatching).length > 0,
			getStatedWaitMs: () => backends.getStatedWaitMs(service, isMatching),
			getDecisionContext: () => ({...this.#getDecisionContext(), configuration: table.configuration.version}),
			isCutOff: triedCount => this.#forwarding.shouldGiveUp(request, triedCount),
			onReleased() {
				traffic.grantPermits();
			},
			takeRetry() {
				const isAllowed = retries.take(service);
				metrics.count('mulberrypitch_repeats_total', 'Requests to be sent again, by whether the budget allowed it.', {service, isAllowed: String(isAllowed)});
				return isAllowed;
			},
			canSend: backend => versions.canSend(backend),
			onSent(backend) {
				versions.recordSend(backend);
			},
			onAttemptEnded(outcome) {
				traffic.recordAttempt(route, prompt, {permit, isSuccess: outcome.kind === 'delivered' && response.statusCode < firstFailureStatus});
				versions.recordEnd(outcome);
				metrics.count('mulberrypitch_sends_total', 'Sends to back ends by how they ended.', {service, outcome: outcome.kind});
			},
			onRunStarted() {
				traffic.recordFirstEvent(prompt, clock.now() - arrivedAt);
				if (workspace !== undefined) {
					usage.add(workspace.name);
				}
			},
		});
		const end = await this.#options.rollouts.track(versions, proxied.run());
		return end.kind === 'refused' && permit === undefined ? {retryAfterSeconds: traffic.getRetryAfterSeconds(), ...end} : end;
	}

	#getConnectionHeaders(response: ServerResponse): readonly Header[] {
		// The connection ends with the response that says so, although others may have to follow.
		return this.#isDraining && this.#order.isLast(response) ? [{name: 'Connection', value: 'close'}] : [];
	}

	#getDecisionContext(): DecisionContext {
		return {configuration: this.#options.getTable()?.configuration.version ?? 0, viewAgeMs: Math.round(this.#options.getViewAgeMs())};
	}

	#getAttemptId(request: IncomingMessage): string | undefined {
		return getHeader(request, this.#options.names.attemptId);
	}
}
