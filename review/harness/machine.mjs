/** One machine of the deployment: a process of the project with its settings, its disk folder and its starts. */
import {spawn} from 'node:child_process';
import {
	createWriteStream, mkdirSync, readFileSync, writeFileSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {createFields} from './wire.mjs';

const root = path.resolve(import.meta.dirname, '../..');
const deployFile = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
const template = readFileSync(path.join(root, 'platform/settings.ini.template'), 'utf8');
/** Time in milliseconds after which the platform starts a process again that has ended by itself. */
const restartDelayMs = 300;

/** Returns the words of the `run` line of a role of the deploy file. */
function readRunLine(role) {
	const [, section] = deployFile.split(`[roles.${role}]`);
	return /run = "(?<run>[^"]+)"/v.exec(section).groups.run.split(' ');
}

/** Fills in the template of the settings. */
function render(fields) {
	return template.replaceAll(/\{\{(?<name>[^\}]+)\}\}/gv, (_, name) => {
		let value = fields;
		for (const part of name.split('.')) {
			value = value?.[part];
		}

		return Array.isArray(value) ? value.join(',') : String(value ?? '');
	});
}

/** Starts, signals and restarts one program of the deploy file. */
export class Machine {
	constructor(deployment, {name, role, ip, zone, isReplacement = false}) {
		Object.assign(this, {
			deployment, name, role, ip, zone, isReplacement,
		});
		this.starts = 0;
		/** Number of times that the process ended without a signal of the test. */
		this.ownEnds = 0;
		this.isWanted = false;
		this.dataFolder = path.join(deployment.folder, name, 'data');
	}

	/** Address for clients. */
	get address() {
		return `${this.ip}:${this.deployment.ports.front}`;
	}

	/** Address for the operator and the runners. */
	get control() {
		return `${this.ip}:${this.deployment.ports.control}`;
	}

	get isRunning() {
		return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null;
	}

	start() {
		this.isWanted = true;
		if (this.isRunning) {
			return;
		}

		const {deployment, name, role, ip, zone} = this;
		const {ports, folder, heartbeatMs, cores} = deployment;
		mkdirSync(this.dataFolder, {recursive: true});
		const settings = path.join(folder, name, 'settings.ini');
		const isEntry = role === 'entry';
		writeFileSync(settings, render(createFields({
			name,
			ip,
			zone,
			listen: isEntry ? {front: this.address, readiness: `${ip}:${ports.readiness}`} : {control: this.control, directory: `${ip}:${ports.directory}`},
			peerPort: ports.peer,
			seeds: cores.slice(0, 3).map(core => core.control),
			isFirstStart: this.starts === 0 && !this.isReplacement,
			dataFolder: isEntry ? '' : this.dataFolder,
			heartbeatMs,
		})));
		this.starts += 1;
		const {PATH, HOME} = process.env;
		const [program, ...parameters] = readRunLine(role);
		const child = spawn(program, parameters, {
			cwd: root,
			env: {
				PATH, HOME, LANG: 'C.UTF-8', MULBERRYPITCH_BOOT: settings,
			},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		const log = createWriteStream(path.join(folder, `${name}.log`), {flags: 'a'});
		child.stdout.pipe(log, {end: false});
		child.stderr.pipe(log, {end: false});
		this.child = child;
		child.once('exit', (code, signal) => {
			if (this.child === child && this.isWanted) {
				this.ownEnds += 1;
				deployment.record(`${name} ended by itself, code ${code}, signal ${signal}`);
				setTimeout(() => {
					if (this.isWanted) {
						this.start();
					}
				}, restartDelayMs);
			}
		});
	}

	/** Sends a signal. The process stays down until `start`. */
	kill(signal = 'SIGKILL') {
		this.isWanted = false;
		if (this.isRunning) {
			this.child.kill(signal);
		}
	}

	/** Sends a signal, and resolves when the process has ended. */
	async end(signal) {
		const {child} = this;
		const ended = new Promise(resolve => {
			child.once('exit', resolve);
		});
		this.kill(signal);
		await ended;
	}
}
