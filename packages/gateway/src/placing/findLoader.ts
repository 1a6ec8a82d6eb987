import { chooseLoader } from '@figmount/decisions'

import { preferUnlimited } from './preferUnlimited.js'
import { viewLoaders } from './viewServers.js'

import type { EngineSpec, ModelSpec } from '@figmount/fleet'
import type { AgentLink } from '../agents/types.js'
import type { KnownServer } from '../directory/types.js'
import type { GatewayContext } from '../requests/types.js'

/** An engine that is to load a model, and its agent. */
export interface Loader {
  readonly server: KnownServer
  readonly agent: AgentLink
  readonly readyInMs: number
  /** The engine has no copy of the weights: they are loaded from the weight store. */
  readonly isCold: boolean
  /** The load is in progress or queued already. */
  readonly isLoading: boolean
}

/** Chooses the engine that is to load a model, whose requests were not served for `unmetForMs`; undefined if no agent can load it. */
export const findLoader = (
  context: GatewayContext, spec: EngineSpec, model: ModelSpec, servers: readonly KnownServer[], unmetForMs = 0
): Loader | undefined => {
  const candidates = preferUnlimited(context, servers)
  const views = viewLoaders({ directory: context.directory, spec, model, servers: candidates, unmetForMs, nowMs: context.timers.nowMs() })
  const requestsPerS = context.demand.requestsPerS(model.name) * context.routerCount()
  const choice = chooseLoader({ ...model, requestsPerS }, views)
  const view = views.find(candidate => candidate.serverId === choice?.serverId)
  const server = servers.find(candidate => candidate.entry.serverId === choice?.serverId)
  const agent = server && context.agents.find(server.entry.address)
  if (!choice || !view || !agent) return undefined
  return { server, agent, readyInMs: choice.readyInMs, isCold: !view.isInMemory && !view.isOnDisk, isLoading: view.isLoading }
}
