/** The arms of the experiment: the policies of admission and routing that it compares. */
import {AdmissionQueue} from '@mulberrypitch/admission/admission-queue';
import {DemandQuota, type HostDemand} from '@mulberrypitch/admission/demand-quota';
import {EvenQuota} from '@mulberrypitch/admission/quota';
import type {Admission} from '@mulberrypitch/admission/types';
import type {Clock} from '@mulberrypitch/lifecycle/clock';
import type {Random} from '@mulberrypitch/lifecycle/random';
import {AffinityRouter} from '@mulberrypitch/routing/affinity-router';
import {LeastLoadedRouter} from '@mulberrypitch/routing/router';
import type {Router} from '@mulberrypitch/routing/types';
import {FirstComeAdmission, OpenAdmission, RoundRobinRouter} from './baselines.js';

/** Dependencies of the policies of one entry host. */
export type EntryContext = {
	readonly name: string;
	readonly zone: string;
	readonly clock: Clock;
	readonly random: Random;
	/** Number of entry hosts. */
	readonly entries: number;
	/** Index of this entry host among all entry hosts. */
	readonly rank: number;
	/** Returns the demand that the entry hosts last exchanged. */
	readonly getHosts: () => readonly HostDemand[];
};

/** The policies of one entry host. */
export type EntryPolicies = {
	readonly admission: Admission & Partial<Pick<AdmissionQueue, 'getDemand' | 'refresh'>>;
	readonly router: Router;
};

/** One combination of policies. */
export type Arm = {
	readonly name: string;
	/** Time after which an attempt without a first token is cancelled and retried on another back end; attempts have no timeout when absent. */
	readonly attemptTimeoutMs?: number;
	/** Creates the policies of one entry host. */
	createEntry(context: EntryContext): EntryPolicies;
};

const attemptTimeoutMs = 3000;
const defaultRetryRatio = 0.2;
const unboundedRetryRatio = 1000;

function createAdmission({name, clock, getHosts}: EntryContext): AdmissionQueue {
	return new AdmissionQueue({clock, quota: new DemandQuota(name, getHosts)});
}

function createEvenAdmission({clock, entries, rank}: EntryContext): AdmissionQueue {
	return new AdmissionQueue({clock, quota: new EvenQuota(() => ({hosts: entries, rank}))});
}

function createRouter({name, zone, clock, random}: EntryContext, retryRatio = defaultRetryRatio): AffinityRouter {
	return new AffinityRouter({
		host: name, zone, clock, random, getRetryRatio: () => retryRatio,
	});
}

/** All arms of the experiment. */
export const arms = {
	mulberrypitch: {
		name: 'mulberrypitch',
		createEntry: context => ({admission: createAdmission(context), router: createRouter(context)}),
	},
	evenQuotas: {
		name: 'mulberrypitch, even parts',
		createEntry: context => ({admission: createEvenAdmission(context), router: createRouter(context)}),
	},
	unboundedRetries: {
		name: 'mulberrypitch, retries without budget',
		createEntry: context => ({admission: createAdmission(context), router: createRouter(context, unboundedRetryRatio)}),
	},
	fairLeastLoaded: {
		name: 'admission, least loaded',
		createEntry: context => ({admission: createAdmission(context), router: new LeastLoadedRouter()}),
	},
	firstComeLeastLoaded: {
		name: 'plain FIFO, least loaded',
		createEntry: () => ({admission: new FirstComeAdmission(), router: new LeastLoadedRouter()}),
	},
	roundRobin: {
		name: 'round robin, retries',
		attemptTimeoutMs,
		createEntry: () => ({admission: new OpenAdmission(), router: new RoundRobinRouter()}),
	},
	firstCome: {
		name: 'plain FIFO',
		createEntry: () => ({admission: new FirstComeAdmission(), router: new RoundRobinRouter()}),
	},
} as const satisfies Record<string, Arm>;
