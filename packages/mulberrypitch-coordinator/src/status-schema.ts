/**
 * Schemas of the messages that carry the statuses of entries. A status is kept and combined with others, so each must be sound by
 * itself. The checks are written out, since hundreds of statuses arrive each second. Fields of a later version pass.
 */
import {assumeType} from '@mulberrypitch/errors/assume-type';
import {ProtocolError} from '@mulberrypitch/errors/catalogue';
import type {EntryStatus, GossipRequest, ViewRequest} from '@mulberrypitch/serving/view-messages';
import type {Schema} from '@mulberrypitch/transport/types';

type Fields = Readonly<Record<string, unknown>>;
type Check = (value: unknown) => boolean;

/** Schema of the poll of an entry. */
export const viewRequestSchema: Schema<ViewRequest> = {
	parse(value) {
		const hasNumbers = isObject(value) && areAll(isNumber, [value.configurationVersion, value.rosterVersion, value.waitMs ?? 0, value.readingVersion ?? 0]);
		if (!hasNumbers || !isStatus(value.status) || !isSpeedReport(value.speeds ?? {})) {
			throw new ProtocolError('A status of an entry is malformed.');
		}

		return assumeType<ViewRequest>(value);
	},
};

/** Schema of what another coordinator tells. Malformed statuses in it are left out, so that they don't hide the others. */
export const gossipRequestSchema: Schema<GossipRequest> = {
	parse(value) {
		if (!isObject(value) || !Array.isArray(value.entries) || !isListOf(isObject)(value.backends) || !isPosition(value.known)) {
			throw new ProtocolError('What another coordinator tells is malformed.');
		}

		if (!isListOf(isRolloutAge)(value.rolloutAges ?? []) || !isSpeedReport(value.speeds ?? {})) {
			throw new ProtocolError('What another coordinator tells is malformed.');
		}

		const entries = assumeType<readonly EntryStatus[]>(value.entries.filter(entry => isStatus(entry)));
		return {...assumeType<GossipRequest>(value), entries};
	},
};

function isStatus(value: unknown): boolean {
	return isObject(value)
		&& areAll(isString, [value.name, value.incarnation, value.address, value.zone])
		&& isNumber(value.upMs)
		&& isMapOf(isLoad)(value.loads)
		&& isMapOf(isObject)(value.pressure)
		&& isMapOf(isNumber)(value.spent)
		&& isListOf(isUsage)(value.usage)
		&& isCrashReport(value.crashes)
		&& isListOf(isLimit)(value.limits ?? [])
		&& isListOf(isIncarnation)(value.leaves ?? [])
		&& isListOf(isRolloutEvidence)(value.rollouts ?? []);
}

function isLoad(value: unknown): boolean {
	return isObject(value) && isNumber(value.requests) && isNumber(value.pendingTokens);
}

function isSpeedReport(value: unknown): boolean {
	return isMapOf(evidence => Array.isArray(evidence) && evidence.length === 2 && areAll(isNumber, evidence))(value);
}

function isUsage(value: unknown): boolean {
	return isObject(value) && isNumber(value.window) && isMapOf(isNumber)(value.counts);
}

function isCrashReport(value: unknown): boolean {
	return isObject(value) && isListOf(isCharge)(value.charges) && isListOf(isContent)(value.answered) && isListOf(isContent)(value.quarantined) && isListOf(isSurvival)(value.survived ?? []);
}

function isCharge(value: unknown): boolean {
	return isObject(value) && isString(value.backend) && isNumber(value.ageMs) && isListOf(isString)(value.fingerprints);
}

function isSurvival(value: unknown): boolean {
	return isObject(value) && isString(value.backend) && isNumber(value.ageMs);
}

function isContent(value: unknown): boolean {
	return isObject(value) && isString(value.fingerprint) && isNumber(value.ageMs);
}

function isLimit(value: unknown): boolean {
	return isIncarnation(value) && isNumber(assumeType<Fields>(value).ageMs) && isNumber(assumeType<Fields>(value).requestsPerSecond ?? 0);
}

function isIncarnation(value: unknown): boolean {
	return isObject(value) && isString(value.backend) && isNumber(value.startedAt);
}

function isRolloutEvidence(value: unknown): boolean {
	return isObject(value) && areAll(isCount, [value.rollout, value.revision, value.requests, value.othersRunning]) && isListOf(isRouteEvidence)(value.routes);
}

function isRouteEvidence(value: unknown): boolean {
	return isObject(value) && isString(value.route) && isAnswerSums(value.target) && isAnswerSums(value.others);
}

function isAnswerSums(value: unknown): boolean {
	return isObject(value) && areAll(isCount, [value.sent, value.succeeded, value.failed, value.unanswered ?? 0]) && isLogTimeSums(value.first) && isLogTimeSums(value.pause);
}

function isLogTimeSums(value: unknown): boolean {
	return isObject(value) && areAll(isNumber, [value.sum]) && areAll(isCount, [value.count, value.squares]);
}

function isRolloutAge(value: unknown): boolean {
	return isObject(value) && isCount(value.rollout) && isCount(value.elapsedMs);
}

function isPosition(value: unknown): boolean {
	return value === undefined || (isObject(value) && isString(value.epoch) && isNumber(value.version));
}

function isObject(value: unknown): value is Fields {
	return typeof value === 'object' && value !== null;
}

function isString(value: unknown): boolean {
	return typeof value === 'string';
}

function isNumber(value: unknown): boolean {
	return typeof value === 'number' && Number.isFinite(value);
}

function isCount(value: unknown): boolean {
	return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

function areAll(isItem: Check, values: readonly unknown[]): boolean {
	return values.every(value => isItem(value));
}

function isListOf(isItem: Check): Check {
	return value => Array.isArray(value) && areAll(isItem, value);
}

function isMapOf(isItem: Check): Check {
	return value => isObject(value) && !Array.isArray(value) && areAll(isItem, Object.values(value));
}
