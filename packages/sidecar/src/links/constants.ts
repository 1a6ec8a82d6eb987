/** Time between two looks at whether routers must be told something. */
export const TELL_PERIOD_MS = 100

/** Time between load messages while the load changes. */
export const LOAD_PERIOD_MS = 100
