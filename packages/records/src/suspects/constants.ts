/** Two deaths within this time, the last of them alone, convict a suspect. */
export const CONVICTION_WINDOW_MS = 600_000

/**
 * How long a death is remembered. Grounds: callers send a deadly request again for hours;
 * a suspicion that lapses sooner costs one more engine each time.
 */
export const SUSPICION_MS = 86_400_000

/** Suspects in all; the one whose last death is longest ago is forgotten first. */
export const SUSPECT_LIMIT = 1000

/** Deaths kept of one suspect, the latest. */
export const DEATHS_KEPT = 4
