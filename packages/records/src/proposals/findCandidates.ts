import type { ServiceName } from '@figmount/base'
import type { AgentFacts } from '../agents/types.js'
import type { AgreedState } from '../fold/types.js'
import type { Candidates, ListedInstance } from './types.js'

/** Agents that are up, listed, and neither drain nor leave, by the services that they serve. */
export const groupCandidates = (state: AgreedState, instances: readonly ListedInstance[]): ReadonlyMap<ServiceName, Candidates> => {
  const candidates = new Map<ServiceName, AgentFacts[]>()
  for (const { name, leaving } of instances) {
    const agent = state.agents.get(name)
    if (leaving || !agent || agent.gone || agent.draining) continue
    for (const service of agent.services) {
      const known = candidates.get(service)
      if (known) known.push(agent)
      else candidates.set(service, [agent])
    }
  }
  return candidates
}

/** Agents of a service that are up, listed, and neither drain nor leave. */
export const findCandidates = (state: AgreedState, instances: readonly ListedInstance[], service: ServiceName): Candidates =>
  groupCandidates(state, instances).get(service) ?? []
