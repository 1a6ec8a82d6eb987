import { RUNNING_COST_MS, STARTING_COST_MS } from './constants.js'

/** What an engine runs. */
export interface EngineLoad {
  readonly runningCount: number
  /** Requests without a first event, those that wait among them. */
  readonly startingCount: number
}

/** Delay that an engine's running requests add to a new one. */
export const batchWaitMs = ({ runningCount, startingCount }: EngineLoad): number =>
  runningCount * RUNNING_COST_MS + startingCount * STARTING_COST_MS
