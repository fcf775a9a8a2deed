/** Statements of a back end about itself in the head of a response. */
import type {ResponseHead} from './response-head.js';

/** The statements of one response. */
export type BackendStatement = {
	/** Whether the back end leaves. It ends the requests that it runs, and must get no others. */
	readonly isLeaving: boolean;
	/** Requests a second that the back end accepts from all entries together; absent if it states no limit. */
	readonly requestsPerSecond?: number;
	/** Text of a limit that can't be read; absent otherwise. It changes nothing: what the back end stated before still holds. */
	readonly unreadableLimit?: string;
	/** Rejections a second for want of room, of all entries together, that the back end bears; absent if it states none, or something unreadable. */
	readonly rejectionsPerSecond?: number;
	/** Time in milliseconds for which the back end, which turned the request away, asks this entry to send nothing; absent if it asks for no pause. */
	readonly pauseMs?: number;
	/** Text of a pause that can't be read; absent otherwise. It changes nothing. */
	readonly unreadablePause?: string;
};

/** Reads the statements in the head of a response. */
export type StatementDecoder = (head: ResponseHead) => BackendStatement;
