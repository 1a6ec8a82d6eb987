/** How a run ended without a complete answer. */
export interface BrokenRun {
  /** The caller left before the end. */
  readonly hasLeft: boolean
  readonly waitedMs: number
  /** Time left until the request's deadline. */
  readonly leftMs: number
}

/** A caller that leaves after this long may have left because the server has died in silence. */
const SILENT_LEAVE_MS = 1_000

/** A caller that leaves this much before the deadline, or later, leaves because of the deadline. */
const DEADLINE_MARGIN_MS = 100

/** Whether it is worth finding out if the server has died: callers also leave early for reasons of their own. */
export const mayHaveDied = ({ hasLeft, waitedMs, leftMs }: BrokenRun): boolean =>
  !hasLeft || waitedMs >= SILENT_LEAVE_MS || leftMs <= DEADLINE_MARGIN_MS
