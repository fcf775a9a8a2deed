/** The reason of aborts that nobody reads. */

/** Node builds an exception with a stack for each abort without a reason; paths that abort for each request pass this one. */
export const abortReason = 'aborted';
