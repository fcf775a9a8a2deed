/** `mulberrypitch serve host.ini`: runs one host until SIGTERM or SIGINT, which drain it. */
import {randomInt} from 'node:crypto';
import process from 'node:process';
import type {CAC} from 'cac';
import {loadHostSettings} from '@mulberrypitch/config/host-settings';
import type {HostSettings} from '@mulberrypitch/config/types';
import {Host} from '@mulberrypitch/host/host';
import {Deferred} from '@mulberrypitch/lifecycle/background';
import {splitAddress} from '@mulberrypitch/lifecycle/listen';
import {getMessage} from '@mulberrypitch/errors/coded-error';
import {SystemClock} from '@mulberrypitch/lifecycle/clock';
import {SeededRandom} from '@mulberrypitch/lifecycle/random';
import {events} from '@mulberrypitch/logger/events';
import type {Logger} from '@mulberrypitch/logger/logger';
import {createProcessLogger} from '@mulberrypitch/logger/process-logger';
import {TcpTransport} from '@mulberrypitch/transport/tcp-transport';

/** Exclusive upper bound of the seed of a host. */
const maxSeed = 2 ** 31;

/**
Adds the `serve` command to the program.

@example
```
addServeCommand(program);
```
*/
export function addServeCommand(program: CAC): void {
	program.command('serve <settings>', 'Run one host from its settings file')
		.action(async (file: string) => serve(loadHostSettings(file)));
}

/** Exit code of a host that has to be started again, since its disk accepts writes after it had refused some. */
const restartExitCode = 6;

async function serve(settings: HostSettings): Promise<void> {
	const clock = new SystemClock();
	const logger = createProcessLogger({level: settings.logLevel, fields: {node: settings.name}, getTime: () => clock.wallTime()});
	const transport = createTransport(settings, logger);
	const stopRequest = new Deferred<void>();
	const host = new Host({
		settings, transport, clock, random: new SeededRandom(randomInt(maxSeed)), logger, onStorageRecovered() {
			process.exitCode = restartExitCode;
			stopRequest.resolve();
		},
	});
	const state = {isStopping: false};
	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.on(signal, () => {
			if (state.isStopping) {
				void hurry(host, logger);
			}

			stopRequest.resolve();
		});
	}

	await start(host, transport);
	await stopRequest.promise;
	state.isStopping = true;
	await host.drain();
}

/** Starts a host. If that fails, stops what has started, so that the process ends. */
async function start(host: Host, transport: TcpTransport): Promise<void> {
	try {
		await host.start();
		// The transport listens only after the host has registered all its methods: a call that arrived earlier would fail because its
		// method is unknown.
		await transport.listen();
	} catch (error) {
		await host.dispose();
		throw error;
	}
}

/** Shortens the drain in progress, which reports its own failures. */
async function hurry(host: Host, logger: Logger): Promise<void> {
	try {
		await host.drain();
	} catch (error) {
		logger.log(events.taskFailed, {task: 'drain', reason: getMessage(error)});
	}
}

function createTransport(settings: HostSettings, logger: Logger): TcpTransport {
	return new TcpTransport({
		name: settings.name,
		listen: splitAddress(settings.peerListen),
		secret: settings.peerSecret,
		...(settings.tls !== undefined && {certificates: settings.tls}),
		logger,
	});
}
