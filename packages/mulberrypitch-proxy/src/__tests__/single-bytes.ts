/** Receives responses that arrive one byte at a time, in a worker whose memory is limited. For tests. */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {workerData} from 'node:worker_threads';
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {VirtualClock} from '@mulberrypitch/fakes/virtual-clock';
import type {BackendConnection} from '../backend-connection.js';
import {ResponseCollector} from '../response-collector.js';
import {ResponseParser} from '../response-parser.js';
import {ResponseRelay} from '../response-relay.js';
import {ResponseTiming} from '../response-timing.js';

/** What arrives on each connection. */
export type SingleBytes = {
	/** Beginning of the response, which arrives at once. */
	readonly start: string;
	readonly isStream: boolean;
	/** Number of bytes `a` that follow one by one. */
	readonly count: number;
	readonly connections: number;
};

const caller = assumeType<ServerResponse>({
	sendDate: true,
	writeHead() {
		// Nobody reads the head.
	},
	write: () => true,
	end() {
		// Nobody reads the end.
	},
	once() {
		// This caller never makes the entry wait.
	},
});
const connection = assumeType<BackendConnection>({
	destroy() {
		// The connection has no socket.
	},
});

function createParser(isStream: boolean): ResponseParser {
	const ignore = () => {
		// The responses of this test don't end.
	};

	const collector = new ResponseCollector({
		attemptId: undefined,
		isHead: false,
		isStream,
		relay: new ResponseRelay(caller, {
			isResumable: isStream, timing: new ResponseTiming(new VirtualClock(), 0), onStarted: ignore, getExtraHeaders: () => [],
		}),
		connection,
		attemptHeader: 'attempt',
		signatureHeader: 'signature',
		notRunHeader: 'not-run',
		onBodyBytes: ignore,
		onRunning: ignore,
		onOutcome: ignore,
	});
	return new ResponseParser({
		onHead(head) {
			collector.onHead(head);
		},
		onBody(data) {
			collector.onBody(data);
		},
		onEnd: ignore,
	}, () => false);
}

const {start, isStream, count, connections} = assumeType<SingleBytes>(workerData);
const parsers = Array.from({length: connections}, () => createParser(isStream));
for (const parser of parsers) {
	parser.push(Buffer.from(start, 'latin1'));
}

const byte = Buffer.from('a');
for (let sent = 0; sent < count; sent += 1) {
	for (const parser of parsers) {
		parser.push(byte);
	}
}
