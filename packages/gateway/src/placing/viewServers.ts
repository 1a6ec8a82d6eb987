import { estimateBusyMs, estimateLoadLeftMs } from '@figmount/decisions'

import type { LoaderView, QueuedLoad, ServerView } from '@figmount/decisions'
import type { AgentState, EngineSpec, HeldModel, ModelReplicas, ModelSpec } from '@figmount/fleet'
import type { Directory, KnownServer } from '../directory/types.js'
import type { RoutedRequest } from '../requests/types.js'

/** Time to request an adapter from an agent and fetch it: 5 to 10 ms and two messages. */
const ADAPTER_FETCH_MS = 20

const loadingLeftMs = ({ state, stateAsOfMs }: KnownServer, nowMs: number): number => {
  if (!state || state.loadingModel === '') return 0
  return estimateLoadLeftMs({ leftMs: state.loadingLeftMs, runningMs: state.loadingForMs, ageMs: nowMs - stateAsOfMs })
}

const coldWaitLeftMs = ({ state, stateAsOfMs }: KnownServer, nowMs: number): number =>
  state ? Math.max(0, state.coldWaitMs - (nowMs - stateAsOfMs)) : 0

/** The server's replica of a model, unless the model is about to be unloaded there. */
export const heldModel = (server: KnownServer, modelName: string): HeldModel | undefined => {
  if (server.state?.leavingModels.includes(modelName)) return undefined
  const models = server.state ? server.state.models : server.entry.models
  return models.find(model => model.name === modelName)
}

/**
 * Models that several engines hold; an engine that is about to unload the model is not counted.
 *
 * Guards against two engines that each evict a busy model because the other still holds it: an unload waits for running streams to end.
 */
export const viewReplicas = (directory: Directory): readonly ModelReplicas[] => {
  const counts = new Map<string, number>()
  for (const { serverId } of directory.entries()) {
    const server = directory.find(serverId)
    if (!server || server.isReplaced || server.entry.isDraining) continue
    const leaving = server.state?.leavingModels ?? []
    for (const { name } of server.state?.models ?? server.entry.models) {
      if (!leaving.includes(name)) counts.set(name, (counts.get(name) ?? 0) + 1)
    }
  }
  const replicated: ModelReplicas[] = []
  for (const [modelName, replicaCount] of counts) {
    if (replicaCount > 1) replicated.push({ modelName, replicaCount })
  }
  return replicated
}

/** The engines that hold the request's model. */
export const viewHolders = (
  directory: Directory, request: RoutedRequest, servers: readonly KnownServer[], nowMs: number
): readonly ServerView[] => {
  const { modelName, adapterName, promptParts } = request.caller
  const owner = `${modelName}/${adapterName}`
  const views: ServerView[] = []
  for (const server of servers) {
    const held = heldModel(server, modelName)
    if (!held) continue
    const { serverId, dataCentre } = server.entry
    views.push({
      serverId,
      dataCentre,
      adapterWaitMs: adapterName === '' || held.adapters.includes(adapterName) ? 0 : ADAPTER_FETCH_MS + loadingLeftMs(server, nowMs),
      pendingTokens: server.pendingTokens,
      runningCount: Math.max(server.load?.runningCount ?? 0, server.ownCount),
      startingCount: Math.max(0, (server.load?.startingCount ?? 0) - server.ownStartingCount),
      cachedTokens: directory.prefixes.cachedTokens(serverId, owner, promptParts),
      failureShare: directory.failureShareOf(server)
    })
  }
  return views
}

const queuedLoad = (spec: EngineSpec, state: AgentState, modelName: string): QueuedLoad | undefined => {
  const model = spec.models.find(candidate => candidate.name === modelName)
  if (!model) return undefined
  if (state.inMemory.includes(modelName)) return { hasLocalCopy: true, loadMs: model.memoryLoadMs }
  if (state.onDisk.includes(modelName)) return { hasLocalCopy: true, loadMs: model.diskLoadMs }
  return { hasLocalCopy: false, loadMs: model.coldLoadMs }
}

/** Time until an agent can start to load a model; if the model is queued there already, time until it is loaded. */
export const busyMsOf = (spec: EngineSpec, server: KnownServer, modelName: string, nowMs: number): number => {
  const { state } = server
  if (!state) return 0
  const loadingLeft = loadingLeftMs(server, nowMs)
  if (state.loadingModel === modelName) return loadingLeft
  const queued: QueuedLoad[] = []
  for (const name of state.queuedModels) {
    const load = queuedLoad(spec, state, name)
    if (load) queued.push(load)
    if (name === modelName) break
  }
  const hasLocalCopy = queuedLoad(spec, state, modelName)?.hasLocalCopy ?? false
  return estimateBusyMs({ loadingLeftMs: loadingLeft, coldWaitMs: coldWaitLeftMs(server, nowMs), roomMs: state.roomMs, queued }, hasLocalCopy)
}

interface LoaderInputs {
  readonly directory: Directory
  readonly spec: EngineSpec
  readonly model: ModelSpec
  readonly servers: readonly KnownServer[]
  /** Time for which the model's requests were not served: the longer it is, the more an eviction for it may cost. */
  readonly unmetForMs: number
  readonly nowMs: number
}

/** The engines whose agents could load the model. */
export const viewLoaders = ({ directory, spec, model, servers, unmetForMs, nowMs }: LoaderInputs): readonly LoaderView[] => {
  const views: LoaderView[] = []
  const replicas = new Map(viewReplicas(directory).map(({ modelName, replicaCount }) => [modelName, replicaCount]))
  const replicasOf = (modelName = ''): number => replicas.get(modelName) ?? 1
  for (const server of servers) {
    const { state } = server
    if (!state || model.weightsMb > spec.weightsCapacityMb) continue
    if (heldModel(server, model.name) || state.leavingModels.includes(model.name)) continue
    views.push({
      serverId: server.entry.serverId,
      isInMemory: state.inMemory.includes(model.name),
      isOnDisk: state.onDisk.includes(model.name),
      isLoading: state.loadingModel === model.name || state.queuedModels.includes(model.name),
      hasBegun: state.loadingModel === model.name && state.loadingForMs > 0,
      busyMs: busyMsOf(spec, server, model.name, nowMs),
      coldWaitMs: coldWaitLeftMs(server, nowMs),
      roomMs: Math.max(0, state.roomMs - unmetForMs),
      heldTokensPerS: state.demandTokensPerS.reduce((sum, tokens, index) => sum + tokens / replicasOf(state.models[index]?.name), 0),
      evictionLoss: state.evictionLoss,
      heldCount: state.models.length,
      failureShare: directory.failureShareOf(server)
    })
  }
  return views
}
