/** What is known of an idle model when its stay is decided. */
export interface IdleView {
  readonly idleMs: number
  /** Gaps between past bursts of use in ms, newest last, bounded. */
  readonly pastGapsMs: readonly number[]
  readonly reloadMs: number
  /** Share of the backend server's memory that it holds, 0 to 1. */
  readonly memoryShare: number
  /** 0 weighs only tail cold-start time, 1 only idle accelerator hours. */
  readonly idleCostWeight: number
  /** Share of the memory that waiting loads would take if they could, 0 to 1; 0 when left out. */
  readonly memoryPressure?: number
}

/** Time from now for which an idle model should stay loaded; 0 unloads it now. */
export type KeepAlive = (view: IdleView) => number
