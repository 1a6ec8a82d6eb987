/** Interval at which the state is compared with the one last sent to routers. */
export const STATE_PERIOD_MS = 100

/** Interval between load messages while the load changes. */
export const LOAD_PERIOD_MS = 100

/** Step to which the eviction loss, in late requests, is rounded: smaller changes cause no message. */
export const EVICTION_LOSS_STEP = 0.5

/** Step to which the time to make room for a model is rounded: smaller changes cause no message. */
export const ROOM_STEP_MS = 500
