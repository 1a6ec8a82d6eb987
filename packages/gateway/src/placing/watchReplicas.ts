import { runInBackground } from '@figmount/base'
import { chooseLoader, planReplicas } from '@figmount/decisions'

import { GatewayEvent } from '../events.js'
import { heldModel, viewLoaders } from './viewServers.js'

import type { EngineSpec, ModelSpec, Service } from '@figmount/fleet'
import type { KnownServer } from '../directory/types.js'
import type { GatewayContext } from '../requests/types.js'

/** Time between two looks at the replicas. */
export const REPLICA_PERIOD_MS = 250

/** A replica that was asked for ahead of requests is given up after this time: a slow load takes 13 s and its queue. */
const AHEAD_WANT_MS = 30_000

/**
 * Loads from the weight store at a time beyond which none is begun ahead of requests. An engine that loads takes no other
 * order for six seconds or more: with half of the engines loading, callers of rare models waited out their time behind them.
 */
const MAX_COLD_LOADS = 1

/** The same before anybody has asked for anything: as many as run at full speed. */
const MAX_FIRST_LOADS = 4

const countColdLoads = (servers: readonly KnownServer[]): number => {
  let count = 0
  for (const { state } of servers) count += Number(state?.isLoadingCold ?? false)
  return count
}

/** A model is busy with this many prompt tokens a second, a twentieth of an engine's rate: a few requests in ten seconds. */
const BUSY_TOKENS_PER_S = 2_000

/** Engines with a copy of a busy model: two may go at once. */
const BUSY_COPIES = 3

interface ModelStanding {
  readonly model: ModelSpec
  readonly replicaCount: number
  readonly comingCount: number
  /** Engines that hold the model or have a copy of its weights. */
  readonly copyCount: number
  readonly promptTokensPerS: number
}

const standingOf = (model: ModelSpec, servers: readonly KnownServer[]): ModelStanding => {
  let replicaCount = 0
  let comingCount = 0
  let copyCount = 0
  let promptTokensPerS = 0
  for (const server of servers) {
    const { state } = server
    const isHeld = heldModel(server, model.name) !== undefined
    if (isHeld) replicaCount += 1
    if (isHeld || state?.inMemory.includes(model.name) || state?.onDisk.includes(model.name)) copyCount += 1
    if (!state) continue
    const index = state.models.findIndex(held => held.name === model.name)
    promptTokensPerS = Math.max(promptTokensPerS, state.demandTokensPerS[index] ?? 0)
    if (state.loadingModel === model.name || state.queuedModels.includes(model.name)) comingCount += 1
  }
  return { model, replicaCount, comingCount, copyCount, promptTokensPerS }
}

/** Asks an agent for one more replica, for nobody in particular. */
export const askFor = (
  context: GatewayContext, spec: EngineSpec, model: ModelSpec, servers: readonly KnownServer[], gainPerS: number, reason: string, maxColdLoads = MAX_COLD_LOADS
): void => {
  const loaders = viewLoaders(context.directory, spec, model, servers, context.timers.nowMs())
  const choice = chooseLoader(model, loaders)
  const loader = loaders.find(candidate => candidate.serverId === choice?.serverId)
  if (loader && !loader.isInMemory && !loader.isOnDisk && countColdLoads(servers) >= maxColdLoads) return
  const server = servers.find(candidate => candidate.entry.serverId === choice?.serverId)
  if (!choice || !server) return
  context.events.emit(GatewayEvent.replicaAsked, { model: model.name, peer: choice.serverId, reason, waitMs: Math.round(choice.readyInMs) })
  const agent = context.agents.find(server.entry.address)
  if (!agent) return
  runInBackground(context.events, 'placing.want', agent.want({
    serverId: choice.serverId, modelName: model.name, adapterName: '', waitingCount: 0, gainPerS, timeLeftMs: AHEAD_WANT_MS
  }))
}

const reviewEngine = (context: GatewayContext, service: Service, spec: EngineSpec): void => {
  const servers = context.directory.serving(service.name)
  const standings = spec.models.map(model => standingOf(model, servers))
  const [short] = planReplicas(standings.map(standing => ({ ...standing, modelName: standing.model.name })))
  const busiest = standings.find(standing => standing.model.name === short)
  if (busiest) askFor(context, spec, busiest.model, servers, context.demand.requestsPerS(busiest.model.name), 'demand')
  // The engines that hold a busy model may crash together, and a load from the weight store takes longer than its callers
  // wait. Copies on other engines bring it back in half a second.
  const scarce = standings.find(standing =>
    standing.promptTokensPerS > BUSY_TOKENS_PER_S && standing.copyCount < BUSY_COPIES && standing.comingCount === 0)
  if (scarce) askFor(context, spec, scarce.model, servers, context.demand.requestsPerS(scarce.model.name), 'few copies')
  // A model that no engine holds and none has a copy of costs its next caller a load from the weight store. Bringing
  // it while nobody waits leaves a copy on the engine's disk, from which it is back in half a second.
  const absent = standings.find(standing => standing.copyCount === 0 && standing.comingCount === 0)
  const isAtRest = standings.every(standing => standing.promptTokensPerS === 0)
  if (absent) askFor(context, spec, absent.model, servers, 0, 'no copy', isAtRest ? MAX_FIRST_LOADS : MAX_COLD_LOADS)
}

/**
 * Looks after the replicas of all models. Every router does so by the same figures; each acts at one look in as many
 * as there are routers, drawn at random, so that a shortage is not answered by all of them at once.
 */
export const watchReplicas = (context: GatewayContext): void => {
  if (context.random() * Math.max(1, context.routerCount()) > 1) return
  for (const service of context.deployment()?.services ?? []) {
    if (service.engine) reviewEngine(context, service, service.engine)
  }
}
