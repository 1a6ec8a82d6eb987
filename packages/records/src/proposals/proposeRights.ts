import { chooseHolder } from './chooseHolder.js'
import { PROPOSAL_BATCH } from './constants.js'
import { findRevokes } from './findRevokes.js'
import { findService, listServices, modelsOfService } from '../config/selectors.js'
import { rightIdOf } from '../rights/rightId.js'

import type { InstanceName, ModelId, ServiceName } from '@figmount/base'
import type { AgentFacts } from '../agents/types.js'
import type { AgreedState } from '../fold/types.js'
import type { NewRecord } from '../log/types.js'
import type { RightKey, RightState } from '../rights/types.js'
import type { Candidates, ListedInstance, OpenRight, ProposalFacts } from './types.js'

/** What one round has decided so far. */
interface Round {
  readonly state: AgreedState
  readonly nowMs: number
  readonly facts: ProposalFacts
  readonly maxCount: number
  readonly records: NewRecord[]
  readonly promised: Map<InstanceName, number>
}

const isFull = (round: Round): boolean => round.records.length >= round.maxCount

const rightOf = (state: AgreedState, key: RightKey): RightState | undefined => state.rights.get(rightIdOf(key))

const isOpen = (round: Round, right: RightState | undefined): boolean =>
  !right || (right.status === 'free' && right.grantableFromMs <= round.nowMs)

const findCandidates = (state: AgreedState, instances: readonly ListedInstance[], service: ServiceName): Candidates => {
  const candidates: AgentFacts[] = []
  for (const { name, leaving } of instances) {
    const agent = state.agents.get(name)
    if (leaving || !agent || agent.gone || agent.draining) continue
    if (agent.services.includes(service)) candidates.push(agent)
  }
  return candidates
}

const sumPromised = (state: AgreedState): Map<InstanceName, number> => {
  const promised = new Map<InstanceName, number>()
  for (const service of listServices(state)) {
    for (const [target, model] of modelsOfService(state, service)) {
      for (let slotIndex = 0; slotIndex < model.maxReplicas; slotIndex += 1) {
        const right = rightOf(state, { kind: 'replica', target, slotIndex })
        if (right && right.status !== 'free') promised.set(right.holder, (promised.get(right.holder) ?? 0) + model.memoryMb)
      }
    }
  }
  return promised
}

const grant = (round: Round, { key, current, memoryMb }: OpenRight, agent: AgentFacts): void => {
  round.records.push({
    kind: 'right.grant',
    right: key,
    instance: agent.instance,
    incarnation: agent.incarnation,
    expectedFence: current?.fence ?? 0
  })
  round.promised.set(agent.instance, (round.promised.get(agent.instance) ?? 0) + memoryMb)
}

const revoke = (round: Round, right: RightState): void => {
  round.records.push({ kind: 'right.revoke', right: right.key, fence: right.fence })
}

// A slot that is being given up still takes its place: its holder may have the model loaded.
const findHolders = (state: AgreedState, target: ModelId, slotCount: number): readonly AgentFacts[] => {
  const holders: AgentFacts[] = []
  for (let slotIndex = 0; slotIndex < slotCount; slotIndex += 1) {
    const right = rightOf(state, { kind: 'replica', target, slotIndex })
    const agent = right && right.status !== 'free' ? state.agents.get(right.holder) : undefined
    if (agent) holders.push(agent)
  }
  return holders
}

const findOpenSlots = (round: Round, target: ModelId, slotCount: number, memoryMb: number): readonly OpenRight[] => {
  const open: OpenRight[] = []
  for (let slotIndex = 0; slotIndex < slotCount; slotIndex += 1) {
    const key: RightKey = { kind: 'replica', target, slotIndex }
    const current = rightOf(round.state, key)
    if (isOpen(round, current)) open.push({ key, current, memoryMb })
  }
  return open
}

const grantKeys = (round: Round, target: ModelId, candidates: Candidates, holders: readonly AgentFacts[]): void => {
  const key: RightKey = { kind: 'keys', target }
  const current = rightOf(round.state, key)
  if (isFull(round) || !isOpen(round, current) || !round.facts.mayPropose(target)) return
  // The holder of a slot decides on its own runs without asking anybody else.
  const holder = holders.find(agent => candidates.includes(agent)) ??
    chooseHolder({ target, memoryMb: 0, candidates, holders: [], promised: new Map() })
  if (holder) grant(round, { key, current, memoryMb: 0 }, holder)
}

const grantModel = (round: Round, target: ModelId, slotCount: number, memoryMb: number, candidates: Candidates): void => {
  const open = findOpenSlots(round, target, slotCount, memoryMb)
  const holders = [...findHolders(round.state, target, slotCount)]
  if (open.length > 0 && round.facts.mayPropose(target)) {
    for (const right of open) {
      if (isFull(round)) return
      const holder = chooseHolder({ target, memoryMb, candidates, holders, promised: round.promised })
      if (!holder) break
      grant(round, right, holder)
      holders.push(holder)
    }
  }
  grantKeys(round, target, candidates, holders)
}

const grantService = (round: Round, service: ServiceName, candidates: Candidates): void => {
  if (candidates.length === 0) return
  if (findService(round.state, service)?.kind === 'plain') return grantKeys(round, service as string as ModelId, candidates, [])
  for (const [target, model] of modelsOfService(round.state, service)) {
    if (isFull(round)) return
    grantModel(round, target, model.maxReplicas, model.memoryMb, candidates)
  }
}

/**
 * The records that a router proposes now: revokes of rights that have to move or go, then grants
 * of every free slot up to `maxReplicas` and of one keys right for each model and plain service.
 * Rights stay where they are while their holder merely restarts. `nowMs` is log time or a Unix
 * clock close to it; a grant that comes too early is ignored by the fold and proposed again.
 * At most `facts.maxCount` records; the caller waits for them to be read back before the next round.
 */
export const proposeRights = (
  state: AgreedState, instances: readonly ListedInstance[], facts: ProposalFacts, nowMs: number
): readonly NewRecord[] => {
  const round: Round = {
    state, nowMs, facts, maxCount: facts.maxCount ?? PROPOSAL_BATCH, records: [], promised: sumPromised(state)
  }
  const leaving = new Set(instances.filter(instance => instance.leaving).map(instance => instance.name))
  for (const right of findRevokes(state, leaving)) {
    if (isFull(round)) break
    if (facts.mayPropose(right.key.target)) revoke(round, right)
  }
  for (const service of listServices(state)) {
    if (isFull(round)) break
    grantService(round, service, findCandidates(state, instances, service))
  }
  return round.records
}
