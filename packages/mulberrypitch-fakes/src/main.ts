/** Runs one stand-in back end as a separate process. */
import process from 'node:process';
import {cac} from 'cac';
import {SystemClock} from '@mulberrypitch/lifecycle/clock';
import {Announcer} from './announcer.js';
import {EngineServer} from './engine-server.js';
import {PlainServer} from './plain-server.js';

/** Time between the announcement of a shutdown on SIGTERM and the exit. */
const shutdownNoticeMs = 3000;

type Options = {
	readonly id: string;
	readonly host: string;
	readonly zone: string;
	readonly service: string;
	readonly softwareVersion?: string;
	readonly entries: string;
	readonly token: string;
	readonly slots: number;
	readonly tokenMs: number;
	readonly firstTokenMs: number;
	readonly answerMs: number;
};

async function run(kind: 'engine' | 'plain', options: Options): Promise<void> {
	const clock = new SystemClock();
	const server = kind === 'engine'
		? new EngineServer({
			host: options.host, port: 0, firstTokenMs: options.firstTokenMs, tokenMs: options.tokenMs, clock,
		})
		: new PlainServer({
			host: options.host, port: 0, answerMs: options.answerMs, clock,
		});
	const address = await server.listen();
	const announcer = new Announcer({
		id: options.id,
		address,
		zone: options.zone,
		services: [options.service],
		kind,
		...(options.softwareVersion !== undefined && {version: String(options.softwareVersion)}),
		slots: options.slots,
		entries: options.entries.split(','),
		token: options.token,
		clock,
	});
	process.stdout.write(`${JSON.stringify({id: options.id, address})}\n`);
	process.once('SIGTERM', () => {
		void (async () => {
			await announcer.announceShutdown(shutdownNoticeMs);
			await clock.sleep(shutdownNoticeMs);
			process.exit(0);
		})();
	});
}

const program = cac('mulberrypitch-fakes');
program.command('<kind>', 'Run a stand-in back end: engine or plain')
	.option('--id <id>', 'Name of the back end', {default: 'backend-1'})
	.option('--host <ip>', 'Address to listen on', {default: '127.0.0.1'})
	.option('--zone <zone>', 'Zone of the machine', {default: 'zone-1'})
	.option('--service <service>', 'Service that it runs', {default: 'advice'})
	.option('--software-version <version>', 'Version of its software that it states')
	.option('--entries <list>', 'Base addresses of entry hosts, with commas')
	.option('--token <token>', 'Token of back ends', {default: 'loopback'})
	.option('--slots <count>', 'Requests run at once', {default: 16})
	.option('--first-token-ms <ms>', 'Time to the first token', {default: 20})
	.option('--token-ms <ms>', 'Time between tokens', {default: 10})
	.option('--answer-ms <ms>', 'Time of a plain call', {default: 10})
	.action(async (kind: 'engine' | 'plain', options: Options) => run(kind, options));
program.help();
program.parse();
