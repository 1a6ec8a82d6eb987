import { chooseHolder } from './chooseHolder.js'
import { MAX_MOVES_PER_ROUND, MIN_MOVE_GAIN } from './constants.js'
import { findCandidates } from './findCandidates.js'
import { sumPromisedMemory } from './sumPromisedMemory.js'
import { findService, listServices, modelsOfService } from '../config/selectors.js'
import { findReplicaRights } from '../rights/selectors.js'

import type { InstanceName, ModelId, ServiceName } from '@figmount/base'
import type { AgentFacts } from '../agents/types.js'
import type { ModelSpec } from '../config/types.js'
import type { AgreedState } from '../fold/types.js'
import type { NewRecord } from '../log/types.js'
import type { RightState } from '../rights/types.js'
import type { Candidates, ListedInstance, MoveOptions } from './types.js'

/** A slot and the agent that it could move to. */
interface Move {
  readonly right: RightState
  readonly from: AgentFacts
  readonly to: AgentFacts
  readonly memoryMb: number
  readonly isLoaded: boolean
  /** The donor's memory pressure before the move minus the receiver's after it. */
  readonly gain: number
}

type Promised = Map<InstanceName, number>

/** Promised memory of an agent as a multiple of its capacity; above 1 its models do not all fit at once. */
const memoryPressureOf = (promised: Promised, agent: AgentFacts): number =>
  agent.memoryCapacityMb === 0 ? 0 : (promised.get(agent.instance) ?? 0) / agent.memoryCapacityMb

const areAllSlotsGranted = (state: AgreedState, service: ServiceName, candidates: Candidates): boolean => {
  for (const [target, model] of modelsOfService(state, service)) {
    const granted = findReplicaRights(state, target).filter(right => right.status === 'granted')
    const eligible = candidates.filter(agent => agent.memoryCapacityMb >= model.memoryMb)
    if (granted.length < Math.min(model.maxReplicas, eligible.length)) return false
  }
  return true
}

const findMove = (
  state: AgreedState, right: RightState, model: ModelSpec, candidates: Candidates, promised: Promised, options: MoveOptions
): Move | undefined => {
  const from = state.agents.get(right.holder)
  if (!from || memoryPressureOf(promised, from) <= 1) return undefined
  const target = right.key.target
  const otherHolders = findReplicaRights(state, target)
    .filter(other => other.id !== right.id && other.status !== 'free')
    .map(other => state.agents.get(other.holder))
    .filter(agent => agent !== undefined)
  const { memoryMb } = model
  const promisedWithoutSlot = new Map(promised).set(from.instance, (promised.get(from.instance) ?? 0) - memoryMb)
  const to = chooseHolder({ target, memoryMb, candidates, holders: otherHolders, promised: promisedWithoutSlot })
  if (!to || to.instance === from.instance) return undefined
  const promisedAfterMove = new Map(promisedWithoutSlot).set(to.instance, (promisedWithoutSlot.get(to.instance) ?? 0) + memoryMb)
  const gain = memoryPressureOf(promised, from) - memoryPressureOf(promisedAfterMove, to)
  return gain < MIN_MOVE_GAIN ? undefined : { right, from, to, memoryMb, isLoaded: options.isLoaded(from.instance, target), gain }
}

// Moving a slot that is not loaded costs no load, so those go first; among equals the move with the largest gain wins.
const isBetter = (move: Move, best: Move | undefined): boolean => {
  if (!best) return true
  if (move.isLoaded !== best.isLoaded) return best.isLoaded
  return move.gain > best.gain
}

const findBestMove = (state: AgreedState, service: ServiceName, candidates: Candidates, promised: Promised, options: MoveOptions, moved: ReadonlySet<ModelId>): Move | undefined => {
  let best: Move | undefined
  for (const [target, model] of modelsOfService(state, service)) {
    if (moved.has(target)) continue
    for (const right of findReplicaRights(state, target)) {
      const move = findMove(state, right, model, candidates, promised, options)
      if (move && isBetter(move, best)) best = move
    }
  }
  return best
}

const proposeServiceMoves = (state: AgreedState, service: ServiceName, candidates: Candidates, options: MoveOptions): readonly NewRecord[] => {
  const promised = sumPromisedMemory(state)
  const moved = new Set<ModelId>()
  const records: NewRecord[] = []
  while (records.length < MAX_MOVES_PER_ROUND) {
    const move = findBestMove(state, service, candidates, promised, options, moved)
    if (!move) return records
    records.push({ kind: 'right.revoke', right: move.right.key, fence: move.right.fence })
    moved.add(move.right.key.target)
    promised.set(move.from.instance, (promised.get(move.from.instance) ?? 0) - move.memoryMb)
    promised.set(move.to.instance, (promised.get(move.to.instance) ?? 0) + move.memoryMb)
  }
  return records
}

/**
 * Proposes revokes that move slots from agents with overcommitted memory to less loaded ones. Overcommitment
 * arises when several routers grant the slots of a new configuration at the same moment, unaware of each
 * other, or when an instance joins after all slots were granted: some agents then constantly evict and
 * reload models while others stay empty. Only agents whose slots do not all fit give slots up. After a move the
 * receiver's memory pressure is at least MIN_MOVE_GAIN below the donor's before it, so moving terminates.
 * A service that has ungranted or moving slots is skipped.
 */
export const proposeMoves = (state: AgreedState, instances: readonly ListedInstance[], options: MoveOptions): readonly NewRecord[] => {
  const records: NewRecord[] = []
  for (const service of listServices(state)) {
    if (findService(state, service)?.kind === 'plain' || !options.mayPropose(`moves:${service}`)) continue
    const candidates = findCandidates(state, instances, service)
    if (areAllSlotsGranted(state, service, candidates)) records.push(...proposeServiceMoves(state, service, candidates, options))
  }
  return records
}
