/**
 * How long a suspicion that came over a link counts without the log's word. Grounds: the log carries it
 * within a second; an outage of the log must not make a crashing request look harmless for minutes.
 */
export const FAST_SUSPICION_MS = 120_000

/** Fast suspicions remembered at once. */
export const FAST_SUSPICION_COUNT = 1_000

/** Deaths remembered of one fast suspicion; two convict. */
export const FAST_DEATH_COUNT = 4
