/** A shared reason for aborts. */

/**
Abort reason for signals whose reason is never read. Without a reason, `AbortController.abort()` creates an exception with a
stack trace, which is too expensive on paths that abort once per request.
*/
export const abortReason = 'aborted';
