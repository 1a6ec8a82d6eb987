/**
 * Minimum time that a model stays loaded after its last use, regardless of its history. Callers that were refused retry
 * within a second or two, and a program that got an answer often sends its next request at once; a model without a
 * history and with a short reload time would otherwise be unloaded before each of these requests.
 */
export const MIN_KEEP_MS = 5_000

/** Number of past gaps between uses stored per model for keep-alive; 40 models take 3 KB. */
export const GAP_COUNT = 10
