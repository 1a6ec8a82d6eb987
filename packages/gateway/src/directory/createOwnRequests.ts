/** Own requests at a server. */
export interface OwnLoad {
  readonly count: number
  readonly startingCount: number
  readonly pendingTokens: number
}

/** What one router has under way at each server. */
export interface OwnRequests {
  readonly loadAt: (serverId: string) => OwnLoad
  /** Servers with requests for models, and the models. */
  readonly runs: () => ReadonlyMap<string, ReadonlyMap<string, number>>
  readonly noteRun: (serverId: string, modelName: string) => void
  readonly noteRunEnd: (serverId: string, modelName: string) => void
  readonly noteSent: (serverId: string, tokens: number) => void
  readonly noteFirstEvent: (serverId: string, tokens: number) => void
  readonly noteEnded: (serverId: string) => void
}

const NO_LOAD: OwnLoad = { count: 0, startingCount: 0, pendingTokens: 0 }

/** Makes the books of one router on its own requests. */
export const createOwnRequests = (): OwnRequests => {
  const loads = new Map<string, OwnLoad>()
  const runs = new Map<string, Map<string, number>>()

  const changeRuns = (serverId: string, modelName: string, by: number): void => {
    const models = runs.get(serverId) ?? new Map<string, number>()
    const count = (models.get(modelName) ?? 0) + by
    if (count > 0) models.set(modelName, count)
    else models.delete(modelName)
    if (models.size > 0) runs.set(serverId, models)
    else runs.delete(serverId)
  }

  const update = (serverId: string, change: (load: OwnLoad) => OwnLoad): void => {
    const load = change(loads.get(serverId) ?? NO_LOAD)
    if (load.count <= 0) loads.delete(serverId)
    else loads.set(serverId, load)
  }

  return {
    loadAt: serverId => loads.get(serverId) ?? NO_LOAD,
    runs: () => runs,
    noteRun: (serverId, modelName) => { changeRuns(serverId, modelName, 1) },
    noteRunEnd: (serverId, modelName) => { changeRuns(serverId, modelName, -1) },
    noteSent: (serverId, tokens) => {
      update(serverId, load => ({ count: load.count + 1, startingCount: load.startingCount + 1, pendingTokens: load.pendingTokens + tokens }))
    },
    noteFirstEvent: (serverId, tokens) => {
      update(serverId, load => ({ ...load, startingCount: load.startingCount - 1, pendingTokens: Math.max(0, load.pendingTokens - tokens) }))
    },
    noteEnded: serverId => { update(serverId, load => ({ ...load, count: load.count - 1 })) }
  }
}
