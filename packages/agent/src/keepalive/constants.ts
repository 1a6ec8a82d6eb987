/**
 * A model stays at least this long after its last use, whatever the history says. Grounds: callers that were told to
 * come back do so within a second or two, and a program that got an answer often asks again at once; a model
 * without a history and with a quick reload would otherwise be unloaded under each of them.
 */
export const MIN_KEEP_MS = 5_000

/** Gaps between uses that are remembered for keep-alive; 40 models hold 3 KB. */
export const GAP_COUNT = 10
