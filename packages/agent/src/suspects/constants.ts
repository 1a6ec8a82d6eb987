/**
 * How long a death reported over a link counts without a record in the log. The log normally has it within a second;
 * during an outage of the log a crashing request must stay a suspect for minutes.
 */
export const RECENT_DEATH_KEEP_MS = 120_000

/** Maximum number of fingerprints with recent deaths. */
export const MAX_RECENT_SUSPECTS = 1_000

/** Maximum number of recent deaths of one fingerprint; two are enough for a conviction. */
export const MAX_RECENT_DEATHS = 4
