import { chooseHolder } from './chooseHolder.js'
import { MOVE_BATCH, MOVE_MIN_GAIN } from './constants.js'
import { findCandidates } from './findCandidates.js'
import { sumPromised } from './sumPromised.js'
import { findService, listServices, modelsOfService } from '../config/selectors.js'
import { findReplicaRights } from '../rights/selectors.js'

import type { InstanceName, ModelId, ServiceName } from '@figmount/base'
import type { AgentFacts } from '../agents/types.js'
import type { ModelSpec } from '../config/types.js'
import type { AgreedState } from '../fold/types.js'
import type { NewRecord } from '../log/types.js'
import type { RightState } from '../rights/types.js'
import type { Candidates, ListedInstance, MoveFacts } from './types.js'

/** A slot that could go to a less pressed agent. */
interface Move {
  readonly right: RightState
  readonly from: AgentFacts
  readonly to: AgentFacts
  readonly memoryMb: number
  readonly isLoaded: boolean
  /** By how much the pressure on the donor exceeds the pressure on the receiver after the move. */
  readonly gain: number
}

type Promised = Map<InstanceName, number>

/** Memory promised at an agent as a multiple of its capacity; above 1 its slots contend. */
const pressureOf = (promised: Promised, agent: AgentFacts): number =>
  agent.memoryCapacityMb === 0 ? 0 : (promised.get(agent.instance) ?? 0) / agent.memoryCapacityMb

const isSettled = (state: AgreedState, service: ServiceName, candidates: Candidates): boolean => {
  for (const [target, model] of modelsOfService(state, service)) {
    const granted = findReplicaRights(state, target).filter(right => right.status === 'granted')
    const fit = candidates.filter(agent => agent.memoryCapacityMb >= model.memoryMb)
    if (granted.length < Math.min(model.maxReplicas, fit.length)) return false
  }
  return true
}

const findMove = (
  state: AgreedState, right: RightState, model: ModelSpec, candidates: Candidates, promised: Promised, facts: MoveFacts
): Move | undefined => {
  const from = state.agents.get(right.holder)
  if (!from || pressureOf(promised, from) <= 1) return undefined
  const target = right.key.target
  const others = findReplicaRights(state, target)
    .filter(other => other.id !== right.id && other.status !== 'free')
    .map(other => state.agents.get(other.holder))
    .filter(agent => agent !== undefined)
  const { memoryMb } = model
  const without = new Map(promised).set(from.instance, (promised.get(from.instance) ?? 0) - memoryMb)
  const to = chooseHolder({ target, memoryMb, candidates, holders: others, promised: without })
  if (!to || to.instance === from.instance) return undefined
  const receiving = new Map(without).set(to.instance, (without.get(to.instance) ?? 0) + memoryMb)
  const gain = pressureOf(promised, from) - pressureOf(receiving, to)
  return gain < MOVE_MIN_GAIN ? undefined : { right, from, to, memoryMb, isLoaded: facts.isLoaded(from.instance, target), gain }
}

// A slot that is not loaded moves for free; among equals the one that evens out most goes first.
const isBetter = (move: Move, best: Move | undefined): boolean => {
  if (!best) return true
  if (move.isLoaded !== best.isLoaded) return best.isLoaded
  return move.gain > best.gain
}

const findBestMove = (state: AgreedState, service: ServiceName, candidates: Candidates, promised: Promised, facts: MoveFacts, moved: ReadonlySet<ModelId>): Move | undefined => {
  let best: Move | undefined
  for (const [target, model] of modelsOfService(state, service)) {
    if (moved.has(target)) continue
    for (const right of findReplicaRights(state, target)) {
      const move = findMove(state, right, model, candidates, promised, facts)
      if (move && isBetter(move, best)) best = move
    }
  }
  return best
}

const moveWithin = (state: AgreedState, service: ServiceName, candidates: Candidates, facts: MoveFacts): readonly NewRecord[] => {
  const promised = sumPromised(state)
  const moved = new Set<ModelId>()
  const records: NewRecord[] = []
  while (records.length < MOVE_BATCH) {
    const move = findBestMove(state, service, candidates, promised, facts, moved)
    if (!move) return records
    records.push({ kind: 'right.revoke', right: move.right.key, fence: move.right.fence })
    moved.add(move.right.key.target)
    promised.set(move.from.instance, (promised.get(move.from.instance) ?? 0) - move.memoryMb)
    promised.set(move.to.instance, (promised.get(move.to.instance) ?? 0) + move.memoryMb)
  }
  return records
}

/**
 * Revokes of slots that would contend for memory less elsewhere. Load pattern: several routers grant
 * the slots of a new configuration at the same moment, each unaware of the others' grants, or an
 * instance joins when all slots are granted. Without it some agents evict and reload all the time
 * while others stand empty. Only slots on an agent whose slots do not all fit are moved, one round
 * after another, each time lowering the highest pressure by at least MOVE_MIN_GAIN, so it comes to
 * an end. A service with a slot on the move or still to be granted is left alone.
 */
export const proposeMoves = (state: AgreedState, instances: readonly ListedInstance[], facts: MoveFacts): readonly NewRecord[] => {
  const records: NewRecord[] = []
  for (const service of listServices(state)) {
    if (findService(state, service)?.kind === 'plain' || !facts.mayPropose(`moves:${service}`)) continue
    const candidates = findCandidates(state, instances, service)
    if (isSettled(state, service, candidates)) records.push(...moveWithin(state, service, candidates, facts))
  }
  return records
}
