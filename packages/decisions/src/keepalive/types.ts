/** State of an idle model when deciding how long to keep it loaded. */
export interface IdleView {
  readonly idleMs: number
  /** Gaps between past bursts of use in ms, newest last, bounded. */
  readonly pastGapsMs: readonly number[]
  readonly reloadMs: number
  /** Share of the backend server's memory that the model occupies, 0 to 1. */
  readonly memoryShare: number
  /** 0 weighs only cold-start time, 1 only idle accelerator time. */
  readonly idleCostWeight: number
  /** Share of the memory that waiting loads would take if they could, 0 to 1; 0 when omitted. */
  readonly memoryPressure?: number
}

/** Time from now for which an idle model should stay loaded; 0 unloads it now. */
export type KeepAlive = (view: IdleView) => number
