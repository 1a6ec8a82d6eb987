import { rankByRendezvous } from '@figmount/base'

import { RANKED_CANDIDATE_COUNT } from './constants.js'

import type { DataCentre, InstanceName, ModelId } from '@figmount/base'
import type { AgentFacts } from '../agents/types.js'
import type { Candidates } from './types.js'

/** Memory in MB that each agent needs for the models of all replica slots granted to it. */
export type PromisedMemory = ReadonlyMap<InstanceName, number>

interface SlotRequest {
  readonly target: ModelId
  readonly memoryMb: number
  readonly candidates: Candidates
  /** Agents that already hold a slot of the model. */
  readonly holders: readonly AgentFacts[]
  readonly promised: PromisedMemory
}

const countAgentsIn = (agents: readonly AgentFacts[], dataCentre: DataCentre): number =>
  agents.filter(agent => agent.dataCentre === dataCentre).length

// Places consecutive slots in different data centres, so that a model survives the loss of one.
const filterLeastUsedDataCentres = (agents: Candidates, holders: readonly AgentFacts[]): Candidates => {
  const counts = new Map<DataCentre, number>()
  for (const { dataCentre } of agents) {
    if (!counts.has(dataCentre)) counts.set(dataCentre, countAgentsIn(holders, dataCentre))
  }
  const least = Math.min(...counts.values())
  return agents.filter(agent => counts.get(agent.dataCentre) === least)
}

/**
 * Chooses the agent for the next slot of a model; undefined if no agent is eligible. Rendezvous ranking
 * spreads the slots and makes proposers agree. Among the top-ranked agents the one with the least
 * promised memory is chosen, which halves the imbalance that ranking alone leaves.
 */
export const chooseHolder = ({ target, memoryMb, candidates, holders, promised }: SlotRequest): AgentFacts | undefined => {
  const holderNames = new Set(holders.map(agent => agent.instance))
  const eligible = candidates.filter(agent => !holderNames.has(agent.instance) && agent.memoryCapacityMb >= memoryMb)
  if (eligible.length === 0) return undefined
  const preferred = new Map(filterLeastUsedDataCentres(eligible, holders).map(agent => [agent.instance, agent]))
  const ranked = rankByRendezvous(target, [...preferred.keys()]).slice(0, RANKED_CANDIDATE_COUNT)
  let best = ranked[0]
  for (const instance of ranked) {
    if (best !== undefined && (promised.get(instance) ?? 0) < (promised.get(best) ?? 0)) best = instance
  }
  return best === undefined ? undefined : preferred.get(best)
}
