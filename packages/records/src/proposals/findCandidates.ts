import type { ServiceName } from '@figmount/base'
import type { AgentFacts } from '../agents/types.js'
import type { AgreedState } from '../fold/types.js'
import type { Candidates, ListedInstance } from './types.js'

/** Agents of a service that are up, listed, and neither drain nor leave. */
export const findCandidates = (state: AgreedState, instances: readonly ListedInstance[], service: ServiceName): Candidates => {
  const candidates: AgentFacts[] = []
  for (const { name, leaving } of instances) {
    const agent = state.agents.get(name)
    if (leaving || !agent || agent.gone || agent.draining) continue
    if (agent.services.includes(service)) candidates.push(agent)
  }
  return candidates
}
