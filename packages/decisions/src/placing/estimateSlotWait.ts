/** Occupancy of an engine when one more request arrives. */
export interface EngineSlots {
  /** Requests that the engine runs at the same time. */
  readonly slotCount: number
  readonly runningCount: number
  /** Requests without a first event, including those that wait for a slot. */
  readonly startingCount: number
  /** Mean time for which a request occupies its slot; 0 while unknown. */
  readonly occupancyMs: number
}

/**
 * Expected time until an engine has a free slot for one more request, behind all that already wait.
 *
 * Load pattern: a model with more callers than its engines have slots. Its queue would grow until callers abandon streams without
 * a first event. Those that would leave are refused at once (`planWait`), so that they do not lengthen the queue.
 */
export const estimateSlotWaitMs = ({ slotCount, runningCount, startingCount, occupancyMs }: EngineSlots): number => {
  if (runningCount < slotCount) return 0
  return (startingCount + 1) * occupancyMs / slotCount
}
