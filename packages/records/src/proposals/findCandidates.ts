import type { ServiceName } from '@figmount/base'
import type { AgentFacts } from '../agents/types.js'
import type { AgreedState } from '../fold/types.js'
import type { Candidates, ListedInstance } from './types.js'

/** Agents that are up, listed, and neither drain nor leave, by the services that they serve. */
export const groupCandidates = (state: AgreedState, instances: readonly ListedInstance[]): ReadonlyMap<ServiceName, Candidates> => {
  const candidates = new Map<ServiceName, AgentFacts[]>()
  for (const { name, leaving, stopping } of instances) {
    const agent = state.agents.get(name)
    // Guards against rights that go back and forth: an agent that leaves gives its rights back and then has the least
    // memory promised, so a proposer whose list is a second old grants them to it again, twenty times a second. The last
    // grant crosses the agent's end and waits for a void; a caller waited 48 s. The agent's own word is never that late.
    if (leaving || stopping || !agent || agent.gone || agent.draining) continue
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
