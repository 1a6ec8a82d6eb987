import { runInBackground } from '@figmount/base'

import { GatewayEvent } from '../events.js'
import { findLoader } from './findLoader.js'

import type { EngineSpec, ModelSpec } from '@figmount/fleet'
import type { KnownServer } from '../directory/types.js'
import type { GatewayContext } from '../requests/types.js'

/** Lifetime of a want for a replica ahead of demand: the time of two loads from a slow weight store. */
const PROACTIVE_WANT_MS = 30_000

/**
 * Concurrent loads from the weight store beyond which none is started ahead of requests. An engine that loads accepts no other order for
 * seconds: with half of the engines loading, callers of rare models time out behind them.
 */
const MAX_COLD_LOADS = 1

/** Loads beyond those that the store is known to carry, so that agents can try whether it carries more. */
const TRIAL_COUNT = 1

/** A replica that is requested before requests need it. */
export interface ReplicaRequest {
  readonly spec: EngineSpec
  readonly model: ModelSpec
  readonly servers: readonly KnownServer[]
  /** Requests of the next seconds that would be late without it, as this router expects. */
  readonly lateCount: number
  readonly reason: string
  /** Time after which the agent drops the want unless it is requested again. */
  readonly timeLeftMs?: number
  /** Concurrent loads from the weight store beyond which this replica is not requested. */
  readonly maxColdLoads?: number
}

/** Requests one more replica from an agent, on behalf of no particular request. */
export const requestReplica = (context: GatewayContext, { spec, model, servers, lateCount, reason, timeLeftMs = PROACTIVE_WANT_MS, maxColdLoads = MAX_COLD_LOADS }: ReplicaRequest): void => {
  const loader = findLoader(context, spec, model, servers)
  if (!loader) return
  const { serverId, address } = loader.server.entry
  const mayLoadCold = context.coldLoads.count() < Math.min(maxColdLoads, context.coldLoads.limit() + TRIAL_COUNT)
  if (loader.isCold && !loader.isLoading && !(mayLoadCold && context.areCopiesKnown())) return
  if (loader.isCold) context.coldLoads.noteRequested(address)
  context.events.emit(GatewayEvent.replicaAsked, { model: model.name, peer: serverId, reason, waitMs: Math.round(loader.readyInMs) })
  runInBackground(context.events, 'placing.want', loader.agent.want({
    serverId, modelName: model.name, adapterName: '', waitingCount: 0, lateCount, timeLeftMs
  }).outcome)
}
