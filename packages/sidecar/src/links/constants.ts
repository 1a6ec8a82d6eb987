/** Time between two looks at whether routers must be told something. */
export const TELL_PERIOD_MS = 100

/** Time between load messages while the load changes. */
export const LOAD_PERIOD_MS = 100

/** Changes of what an eviction costs below this, in requests made late, are not worth a message. */
export const LOSS_STEP = 0.5

/** Changes of the time to make room below this are not worth a message. */
export const ROOM_STEP_MS = 500
