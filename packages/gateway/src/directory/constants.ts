/** Prompt beginnings remembered for each server and model: some hundred shared parts, at 100 bytes each. */
export const MAX_PREFIXES = 2_000
