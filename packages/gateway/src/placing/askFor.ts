import { runInBackground } from '@figmount/base'
import { chooseLoader } from '@figmount/decisions'

import { GatewayEvent } from '../events.js'
import { viewLoaders } from './viewServers.js'

import type { EngineSpec, ModelSpec } from '@figmount/fleet'
import type { KnownServer } from '../directory/types.js'
import type { GatewayContext } from '../requests/types.js'

/** A replica that was asked for ahead of requests is given up after this time: a slow load takes 13 s and its queue. */
const AHEAD_WANT_MS = 30_000

/**
 * Loads from the weight store at a time beyond which none is begun ahead of requests. An engine that loads takes no other
 * order for six seconds or more: with half of the engines loading, callers of rare models waited out their time behind them.
 */
const MAX_COLD_LOADS = 1

/** A replica that is wanted ahead of requests. */
export interface ReplicaAsk {
  readonly spec: EngineSpec
  readonly model: ModelSpec
  readonly servers: readonly KnownServer[]
  /** Requests of the next seconds that are late without it, as the router sees. */
  readonly lateCount: number
  readonly reason: string
  /** Loads from the weight store at a time beyond which none is begun for this ask. */
  readonly maxColdLoads?: number
}

/** Asks an agent for one more replica, for nobody in particular. */
export const askFor = (context: GatewayContext, { spec, model, servers, lateCount, reason, maxColdLoads = MAX_COLD_LOADS }: ReplicaAsk): void => {
  const loaders = viewLoaders(context.directory, spec, model, servers, context.timers.nowMs())
  const choice = chooseLoader(model, loaders)
  const loader = loaders.find(candidate => candidate.serverId === choice?.serverId)
  const server = servers.find(candidate => candidate.entry.serverId === choice?.serverId)
  const agent = server && context.agents.find(server.entry.address)
  if (!choice || !loader || !agent) return
  const isCold = !loader.isInMemory && !loader.isOnDisk
  const mayLoadCold = context.coldLoads.count() < Math.min(maxColdLoads, context.coldLoads.limit())
  if (isCold && !loader.isLoading && !mayLoadCold) return
  if (isCold) context.coldLoads.noteAsked(server.entry.address)
  context.events.emit(GatewayEvent.replicaAsked, { model: model.name, peer: choice.serverId, reason, waitMs: Math.round(choice.readyInMs) })
  runInBackground(context.events, 'placing.want', agent.want({
    serverId: choice.serverId, modelName: model.name, adapterName: '', waitingCount: 0, lateCount, timeLeftMs: AHEAD_WANT_MS
  }).outcome)
}
