/** Names of the files of a log. */

/** File with the term and the vote. */
export const hardStateFile = 'hard-state';

/** File with the latest snapshot. */
export const snapshotFile = 'snapshot';

/** Ending of segment files. */
export const segmentSuffix = '.segment';
