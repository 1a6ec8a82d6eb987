/** Prompt prefixes stored per server and model: several hundred shared parts, at 100 bytes each. */
export const MAX_PREFIXES = 2_000

/** Keys of unreadable entries stored so that each is logged once: as many as there may be servers, at 100 bytes each. */
export const MAX_REFUSED_KEYS = 1_000
