/** Prompt beginnings remembered for each server and model: some hundred shared parts, at 100 bytes each. */
export const MAX_PREFIXES = 2_000

/** Unreadable keys remembered so that each is logged once: as many as there may be servers, at 100 bytes each. */
export const MAX_REFUSED_KEYS = 1_000
