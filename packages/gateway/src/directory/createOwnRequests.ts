import { startKeyOf } from '@figmount/fleet'

import type { ServerStart } from '@figmount/fleet'

/** Load that the router's own requests put on a server. */
export interface OwnLoad {
  readonly count: number
  readonly startingCount: number
  readonly pendingTokens: number
}

/** Requests for models that run on one start of a server. */
export interface OwnRuns {
  readonly start: ServerStart
  readonly models: ReadonlyMap<string, number>
}

/** The open requests of one router, by start of a server: requests to a previous start are no load of the next one. */
export interface OwnRequests {
  readonly loadAt: (start: ServerStart) => OwnLoad
  readonly runs: () => readonly OwnRuns[]
  readonly noteRun: (start: ServerStart, modelName: string) => void
  readonly noteRunEnd: (start: ServerStart, modelName: string) => void
  readonly noteSent: (start: ServerStart, tokens: number) => void
  readonly noteFirstEvent: (start: ServerStart, tokens: number) => void
  readonly noteEnded: (start: ServerStart) => void
}

const NO_LOAD: OwnLoad = { count: 0, startingCount: 0, pendingTokens: 0 }

/** Creates the counts of one router's own requests. */
export const createOwnRequests = (): OwnRequests => {
  const loads = new Map<string, OwnLoad>()
  const runs = new Map<string, OwnRuns>()

  const changeRuns = (start: ServerStart, modelName: string, by: number): void => {
    const startKey = startKeyOf(start)
    const models = new Map(runs.get(startKey)?.models)
    const count = (models.get(modelName) ?? 0) + by
    if (count > 0) models.set(modelName, count)
    else models.delete(modelName)
    if (models.size > 0) runs.set(startKey, { start, models })
    else runs.delete(startKey)
  }

  const update = (start: ServerStart, change: (load: OwnLoad) => OwnLoad): void => {
    const startKey = startKeyOf(start)
    const load = change(loads.get(startKey) ?? NO_LOAD)
    if (load.count <= 0) loads.delete(startKey)
    else loads.set(startKey, load)
  }

  return {
    loadAt: start => loads.get(startKeyOf(start)) ?? NO_LOAD,
    runs: () => [...runs.values()],
    noteRun: (start, modelName) => { changeRuns(start, modelName, 1) },
    noteRunEnd: (start, modelName) => { changeRuns(start, modelName, -1) },
    noteSent: (start, tokens) => {
      update(start, load => ({ count: load.count + 1, startingCount: load.startingCount + 1, pendingTokens: load.pendingTokens + tokens }))
    },
    noteFirstEvent: (start, tokens) => {
      update(start, load => ({ ...load, startingCount: load.startingCount - 1, pendingTokens: Math.max(0, load.pendingTokens - tokens) }))
    },
    noteEnded: start => { update(start, load => ({ ...load, count: load.count - 1 })) }
  }
}
