/** Samples of each kind of call; p99 then rests on the three slowest. */
export const SAMPLE_COUNT = 300

/** Calls before the samples, so that compiled code and open connections are measured. */
export const WARM_UP_COUNT = 20

/** Growth of a ratio of medians between two runs that fails the comparison. */
export const MAX_P50_GROWTH = 1.5

/** The same for p99, which rests on few samples and moves more on a shared machine. */
export const MAX_P99_GROWTH = 3

/** Starts of a process of which the median is shown. */
export const START_COUNT = 3

export const US_PER_MS = 1000

export const SERVICE = 's'
export const MODEL = 'm'

/** Engine keys that keep the engine's own time short, so that it hides little of figmount's. */
export const QUICK_ENGINE = { prefill_ms: 1, cached_prefill_ms: 1, token_interval_ms: 1, batch_size: 16 } as const
