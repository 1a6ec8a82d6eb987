/** Samples per kind of call; p99 is then determined by the three slowest. */
export const SAMPLE_COUNT = 300

/** Unmeasured calls before the samples, so that code is compiled and connections are open. */
export const WARM_UP_COUNT = 20

/** Maximum growth of a ratio of medians between two runs; above it the comparison fails. */
export const MAX_P50_GROWTH = 1.5

/** The same for p99, which is based on few samples and varies more on a shared machine. */
export const MAX_P99_GROWTH = 3

/** Number of starts per process; the median is reported. */
export const START_COUNT = 3

export const US_PER_MS = 1000

export const SERVICE = 's'
export const MODEL = 'm'

/** Engine settings that keep the engine's own time short, so that it hides little of the time spent in figmount. */
export const QUICK_ENGINE = { prefill_ms: 1, cached_prefill_ms: 1, token_interval_ms: 1, batch_size: 16 } as const
