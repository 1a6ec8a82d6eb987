/**
 * How long a suspicion that came over a link counts without the log's word. Grounds: the log carries it
 * within a second; an outage of the log must not make a crashing request look harmless for minutes.
 */
export const RECENT_DEATH_KEEP_MS = 120_000

/** Fast suspicions remembered at once. */
export const MAX_RECENT_SUSPECTS = 1_000

/** Deaths remembered of one fast suspicion; two convict. */
export const MAX_RECENT_DEATHS = 4
