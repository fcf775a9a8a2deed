/** Names of the files in the folder of a log. */

/** File with the hard state: replica id, term, vote and founders. */
export const hardStateFile = 'hard-state';

/** File with the latest snapshot. */
export const snapshotFile = 'snapshot';

/** Extension of segment files. */
export const segmentSuffix = '.segment';
