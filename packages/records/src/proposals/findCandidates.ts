import type { ServiceName } from '@figmount/base'
import type { AgentFacts } from '../agents/types.js'
import type { AgreedState } from '../fold/types.js'
import type { Candidates, ListedInstance } from './types.js'

/** Groups the agents that can be granted rights by the services that they serve. */
export const groupCandidates = (state: AgreedState, instances: readonly ListedInstance[]): ReadonlyMap<ServiceName, Candidates> => {
  const candidates = new Map<ServiceName, AgentFacts[]>()
  for (const { name, leaving, stopping } of instances) {
    const agent = state.agents.get(name)
    // Guards against rights that oscillate: a stopping agent releases its rights and then has the least promised memory,
    // so a proposer with an old list granted them to it again and again, and the last grant, after the agent's exit, needed a void.
    // The agent's own announcement is never that late.
    if (leaving || stopping || !agent || agent.gone || agent.draining) continue
    for (const service of agent.services) {
      const group = candidates.get(service)
      if (group) group.push(agent)
      else candidates.set(service, [agent])
    }
  }
  return candidates
}

/** Agents of a service that can be granted rights. */
export const findCandidates = (state: AgreedState, instances: readonly ListedInstance[], service: ServiceName): Candidates =>
  groupCandidates(state, instances).get(service) ?? []
