import { RUNNING_COST_MS, STARTING_COST_MS } from './constants.js'

/** Requests on an engine that delay a new one. */
export interface EngineLoad {
  readonly runningCount: number
  /** Requests without a first event, including those that wait for a slot. */
  readonly startingCount: number
}

/** Delay that the requests on an engine add to a new one. */
export const estimateBatchDelayMs = ({ runningCount, startingCount }: EngineLoad): number =>
  runningCount * RUNNING_COST_MS + startingCount * STARTING_COST_MS
