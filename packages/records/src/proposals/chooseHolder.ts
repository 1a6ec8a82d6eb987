import { rankByRendezvous } from '@figmount/base'

import { RANKED_CHOICES } from './constants.js'

import type { DataCentre, InstanceName, ModelId } from '@figmount/base'
import type { AgentFacts } from '../agents/types.js'
import type { Candidates } from './types.js'

/** Memory promised to replicas at each agent, by all slots granted so far. */
export type PromisedMemory = ReadonlyMap<InstanceName, number>

interface Choice {
  readonly target: ModelId
  readonly memoryMb: number
  readonly candidates: Candidates
  /** Agents that hold a slot of the model already. */
  readonly holders: readonly AgentFacts[]
  readonly promised: PromisedMemory
}

const countIn = (agents: readonly AgentFacts[], dataCentre: DataCentre): number =>
  agents.filter(agent => agent.dataCentre === dataCentre).length

// Consecutive slots go to different data centres, so that the loss of one leaves others.
const inLeastUsedDataCentres = (agents: Candidates, holders: readonly AgentFacts[]): Candidates => {
  const counts = new Map<DataCentre, number>()
  for (const { dataCentre } of agents) {
    if (!counts.has(dataCentre)) counts.set(dataCentre, countIn(holders, dataCentre))
  }
  const least = Math.min(...counts.values())
  return agents.filter(agent => counts.get(agent.dataCentre) === least)
}

/**
 * The agent to hold the next slot of a model; undefined if none is fit. Rendezvous ranking keeps
 * proposers in agreement and slots spread; among the best ranked the one with the least memory
 * promised is taken, which halves the spread of load that ranking alone leaves.
 */
export const chooseHolder = ({ target, memoryMb, candidates, holders, promised }: Choice): AgentFacts | undefined => {
  const taken = new Set(holders.map(agent => agent.instance))
  const fit = candidates.filter(agent => !taken.has(agent.instance) && agent.memoryCapacityMb >= memoryMb)
  if (fit.length === 0) return undefined
  const preferred = new Map(inLeastUsedDataCentres(fit, holders).map(agent => [agent.instance, agent]))
  const ranked = rankByRendezvous(target, [...preferred.keys()]).slice(0, RANKED_CHOICES)
  let best = ranked[0]
  for (const instance of ranked) {
    if (best !== undefined && (promised.get(instance) ?? 0) < (promised.get(best) ?? 0)) best = instance
  }
  return best === undefined ? undefined : preferred.get(best)
}
