import { chooseHolder } from './chooseHolder.js'
import { MAX_PROPOSALS_PER_ROUND } from './constants.js'
import { groupCandidates } from './findCandidates.js'
import { findRightsToRevoke } from './findRightsToRevoke.js'
import { sumPromisedMemory } from './sumPromisedMemory.js'
import { findService, listServices, modelsOfService } from '../config/selectors.js'
import { indexRights, noTargetRights } from '../rights/indexRights.js'

import type { InstanceName, ModelId, ServiceName } from '@figmount/base'
import type { AgentFacts } from '../agents/types.js'
import type { AgreedState } from '../fold/types.js'
import type { NewRecord } from '../log/types.js'
import type { ModelSpec } from '../config/types.js'
import type { TargetRights } from '../rights/indexRights.js'
import type { RightState } from '../rights/types.js'
import type { Candidates, ListedInstance, GrantableRight, ProposalOptions } from './types.js'

/** Progress of one proposal round. */
interface Round {
  readonly state: AgreedState
  readonly nowMs: number
  readonly options: ProposalOptions
  readonly maxCount: number
  readonly records: NewRecord[]
  /** Computed only when a slot can be granted: most rounds grant none. */
  promised: Map<InstanceName, number> | undefined
}

const isFull = (round: Round): boolean => round.records.length >= round.maxCount

const isGrantable = (round: Round, right: RightState | undefined): boolean =>
  !right || (right.status === 'free' && right.grantableFromMs <= round.nowMs)

const promisedMemoryOf = (round: Round): Map<InstanceName, number> => {
  round.promised ??= sumPromisedMemory(round.state)
  return round.promised
}

const grant = (round: Round, { key, current, memoryMb }: GrantableRight, agent: AgentFacts): void => {
  round.records.push({
    kind: 'right.grant',
    right: key,
    instance: agent.instance,
    incarnation: agent.incarnation,
    expectedFence: current?.fence ?? 0
  })
  if (memoryMb === 0) return
  const promised = promisedMemoryOf(round)
  promised.set(agent.instance, (promised.get(agent.instance) ?? 0) + memoryMb)
}

const revoke = (round: Round, right: RightState): void => {
  round.records.push({ kind: 'right.revoke', right: right.key, fence: right.fence })
}

// A holder of a revoked slot still counts: it may have the model loaded.
const findHolders = (state: AgreedState, { replicas }: TargetRights): readonly AgentFacts[] => {
  const holders: AgentFacts[] = []
  for (const right of replicas.values()) {
    const agent = right.status === 'free' ? undefined : state.agents.get(right.holder)
    if (agent) holders.push(agent)
  }
  return holders
}

const findGrantableSlots = (round: Round, target: ModelId, { replicas }: TargetRights, model: ModelSpec): readonly GrantableRight[] => {
  const grantable: GrantableRight[] = []
  for (let slotIndex = 0; slotIndex < model.maxReplicas; slotIndex += 1) {
    const current = replicas.get(slotIndex)
    if (isGrantable(round, current)) grantable.push({ key: { kind: 'replica', target, slotIndex }, current, memoryMb: model.memoryMb })
  }
  return grantable
}

const grantKeys = (round: Round, target: ModelId, rights: TargetRights, candidates: Candidates, holders: readonly AgentFacts[]): void => {
  const current = rights.keys
  if (isFull(round) || !isGrantable(round, current) || !round.options.mayPropose(target)) return
  // An agent that holds a slot of the model is preferred: it can then permit its own runs without a request to another agent.
  const holder = holders.find(agent => candidates.includes(agent)) ??
    chooseHolder({ target, memoryMb: 0, candidates, holders: [], promised: new Map() })
  if (holder) grant(round, { key: { kind: 'keys', target }, current, memoryMb: 0 }, holder)
}

const grantModel = (round: Round, target: ModelId, model: ModelSpec, candidates: Candidates): void => {
  const rights = indexRights(round.state).get(target) ?? noTargetRights
  const grantable = findGrantableSlots(round, target, rights, model)
  if (grantable.length === 0 && !isGrantable(round, rights.keys)) return
  const holders = [...findHolders(round.state, rights)]
  if (grantable.length > 0 && round.options.mayPropose(target)) {
    for (const right of grantable) {
      if (isFull(round)) return
      const holder = chooseHolder({ target, memoryMb: model.memoryMb, candidates, holders, promised: promisedMemoryOf(round) })
      if (!holder) break
      grant(round, right, holder)
      holders.push(holder)
    }
  }
  grantKeys(round, target, rights, candidates, holders)
}

const grantService = (round: Round, service: ServiceName, candidates: Candidates): void => {
  if (findService(round.state, service)?.kind === 'plain') {
    const target = service as string as ModelId
    return grantKeys(round, target, indexRights(round.state).get(target) ?? noTargetRights, candidates, [])
  }
  for (const [target, model] of modelsOfService(round.state, service)) {
    if (isFull(round)) return
    grantModel(round, target, model, candidates)
  }
}

/**
 * Proposes revokes of rights whose model or holder no longer permits them, then grants for every free slot
 * up to `maxReplicas` and for one keys right per model and plain service. A holder that restarts keeps its
 * rights. `nowMs` is log time or a Unix clock close to it; the fold ignores a grant that comes too early,
 * and it is proposed again. The caller must wait until its records are read back before the next round.
 */
export const proposeRights = (
  state: AgreedState, instances: readonly ListedInstance[], options: ProposalOptions, nowMs: number
): readonly NewRecord[] => {
  const round: Round = {
    state, nowMs, options, maxCount: options.maxCount ?? MAX_PROPOSALS_PER_ROUND, records: [], promised: undefined
  }
  const leaving = new Set(instances.filter(instance => instance.leaving).map(instance => instance.name))
  for (const right of findRightsToRevoke(state, leaving)) {
    if (isFull(round)) break
    if (options.mayPropose(right.key.target)) revoke(round, right)
  }
  const candidates = groupCandidates(state, instances)
  for (const service of listServices(state)) {
    if (isFull(round)) break
    const serviceCandidates = candidates.get(service)
    if (serviceCandidates) grantService(round, service, serviceCandidates)
  }
  return round.records
}
