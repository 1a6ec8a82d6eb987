import { runInBackground } from '@figmount/base'

import { GatewayEvent } from '../events.js'
import { findLoader } from './findLoader.js'

import type { EngineSpec, ModelSpec } from '@figmount/fleet'
import type { KnownServer } from '../directory/types.js'
import type { GatewayContext } from '../requests/types.js'

/** A replica that was asked for ahead of requests is given up after this time: two loads from a slow weight store. */
const PROACTIVE_WANT_MS = 30_000

/**
 * Loads from the weight store at a time beyond which none is begun ahead of requests. An engine that loads takes no other
 * order for seconds: with half of the engines loading, callers of rare models wait out their time behind them.
 */
const MAX_COLD_LOADS = 1

/** A replica that is wanted ahead of requests. */
export interface ReplicaRequest {
  readonly spec: EngineSpec
  readonly model: ModelSpec
  readonly servers: readonly KnownServer[]
  /** Requests of the next seconds that are late without it, as the router sees. */
  readonly lateCount: number
  readonly reason: string
  /** Time after which the agent forgets it unless it is asked again. */
  readonly timeLeftMs?: number
  /** Loads from the weight store at a time beyond which none is begun for this ask. */
  readonly maxColdLoads?: number
}

/** Asks an agent for one more replica, for nobody in particular. */
export const requestReplica = (context: GatewayContext, { spec, model, servers, lateCount, reason, timeLeftMs = PROACTIVE_WANT_MS, maxColdLoads = MAX_COLD_LOADS }: ReplicaRequest): void => {
  const loader = findLoader(context, spec, model, servers)
  if (!loader) return
  const { serverId, address } = loader.server.entry
  const mayLoadCold = context.coldLoads.count() < Math.min(maxColdLoads, context.coldLoads.limit())
  if (loader.isCold && !loader.isLoading && !mayLoadCold) return
  if (loader.isCold) context.coldLoads.noteRequested(address)
  context.events.emit(GatewayEvent.replicaAsked, { model: model.name, peer: serverId, reason, waitMs: Math.round(loader.readyInMs) })
  runInBackground(context.events, 'placing.want', loader.agent.want({
    serverId, modelName: model.name, adapterName: '', waitingCount: 0, lateCount, timeLeftMs
  }).outcome)
}
