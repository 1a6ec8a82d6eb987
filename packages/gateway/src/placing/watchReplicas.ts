import { planReplicas } from '@figmount/decisions'

import { requestReplica } from './requestReplica.js'
import { heldModel } from './viewServers.js'

import type { EngineSpec, ModelSpec, Service } from '@figmount/fleet'
import type { KnownServer } from '../directory/types.js'
import type { GatewayContext } from '../requests/types.js'

/** Time between two reviews of the replicas. */
export const REPLICA_PERIOD_MS = 250

/** A model is busy at this many prompt tokens per second, a twentieth of an engine's rate: a few requests in ten seconds. */
const BUSY_TOKENS_PER_S = 2_000

/** Engines that should have a copy of a busy model, so that it survives the loss of two at once. */
const MIN_BUSY_COPIES = 3

interface ModelPlacement {
  readonly model: ModelSpec
  readonly replicaCount: number
  /** Engines that are loading the model or have its load queued. */
  readonly comingCount: number
  /** Engines that hold the model, or have a copy of its weights in memory or on disk. */
  readonly copyCount: number
  readonly promptTokensPerS: number
}

type Counts = Omit<ModelPlacement, 'model'>

const NO_PLACEMENT: Counts = { replicaCount: 0, comingCount: 0, copyCount: 0, promptTokensPerS: 0 }

/** Counts where the models are in one pass over the engines: there are hundreds of models, and few of them on each engine. */
export const placementsOf = (models: readonly ModelSpec[], servers: readonly KnownServer[]): readonly ModelPlacement[] => {
  const counts = new Map<string, Counts>()
  const add = (modelName: string, change: (known: Counts) => Partial<Counts>): void => {
    const known = counts.get(modelName) ?? NO_PLACEMENT
    counts.set(modelName, { ...known, ...change(known) })
  }
  for (const server of servers) {
    const { state, entry } = server
    const heldNames = new Set((state ?? entry).models.map(({ name }) => name).filter(name => heldModel(server, name) !== undefined))
    for (const name of heldNames) add(name, known => ({ replicaCount: known.replicaCount + 1 }))
    const copied = new Set([...heldNames, ...state?.inMemory ?? [], ...state?.onDisk ?? []])
    for (const name of copied) add(name, known => ({ copyCount: known.copyCount + 1 }))
    if (!state) continue
    for (const [index, { name }] of state.models.entries()) {
      add(name, known => ({ promptTokensPerS: Math.max(known.promptTokensPerS, state.demandTokensPerS[index] ?? 0) }))
    }
    const coming = new Set([...(state.loadingModel === '' ? [] : [state.loadingModel]), ...state.queuedModels])
    for (const name of coming) add(name, known => ({ comingCount: known.comingCount + 1 }))
  }
  return models.map(model => ({ model, ...(counts.get(model.name) ?? NO_PLACEMENT) }))
}

const reviewReplicas = (context: GatewayContext, service: Service, spec: EngineSpec): void => {
  const servers = context.directory.serving(service.name)
  const placements = placementsOf(spec.models, servers)
  const ask = ({ model }: ModelPlacement, reason: string, maxColdLoads?: number): void => {
    requestReplica(context, { spec, model, servers, lateCount: 0, reason, ...(maxColdLoads === undefined ? {} : { maxColdLoads }) })
  }
  const [short] = planReplicas(placements.map(placement => ({ ...placement, modelName: placement.model.name })))
  const busiest = placements.find(placement => placement.model.name === short)
  if (busiest) ask(busiest, 'demand')
  // The engines that hold a busy model may crash together, and a load from the weight store takes longer than its callers wait. With a
  // copy on another engine the model is back in half a second.
  const scarce = placements.find(placement =>
    placement.promptTokensPerS > BUSY_TOKENS_PER_S && placement.copyCount < MIN_BUSY_COPIES && placement.comingCount === 0)
  if (scarce) ask(scarce, 'few copies')
  // A model without any replica or copy costs its next caller a load from the weight store. Loading it while no caller waits leaves a
  // copy on the engine's disk, from which it is loaded in half a second. The model with the highest request rate comes first.
  const isIdle = context.isFirstStart && placements.every(placement => placement.promptTokensPerS === 0)
  const absent = placements
    .filter(placement => placement.copyCount === 0 && placement.comingCount === 0)
    .sort((a, b) => context.demand.requestsPerS(b.model.name) - context.demand.requestsPerS(a.model.name))
  // Before the first requests arrive no caller is delayed, so as many loads run at a time as the store carries at full speed. After a
  // restart callers are there already, although no engine reports their demand yet.
  if (absent[0]) ask(absent[0], 'no copy', isIdle ? Infinity : undefined)
}

/**
 * Reviews the replicas of all models. All routers decide by the same figures, so each one skips reviews at random and acts in one of N on
 * average, where N is the number of routers: a shortage is not answered by all of them at once.
 */
export const watchReplicas = (context: GatewayContext): void => {
  if (context.random() * Math.max(1, context.routerCount()) > 1) return
  for (const service of context.deployment()?.services ?? []) {
    if (service.engine) reviewReplicas(context, service, service.engine)
  }
}
