import { chooseHolder } from './chooseHolder.js'
import { PROPOSAL_BATCH } from './constants.js'
import { groupCandidates } from './findCandidates.js'
import { findRevokes } from './findRevokes.js'
import { sumPromised } from './sumPromised.js'
import { findService, listServices, modelsOfService } from '../config/selectors.js'
import { indexRights, noTargetRights } from '../rights/indexRights.js'

import type { InstanceName, ModelId, ServiceName } from '@figmount/base'
import type { AgentFacts } from '../agents/types.js'
import type { AgreedState } from '../fold/types.js'
import type { NewRecord } from '../log/types.js'
import type { ModelSpec } from '../config/types.js'
import type { TargetRights } from '../rights/indexRights.js'
import type { RightState } from '../rights/types.js'
import type { Candidates, ListedInstance, OpenRight, ProposalFacts } from './types.js'

/** What one round has decided so far. */
interface Round {
  readonly state: AgreedState
  readonly nowMs: number
  readonly facts: ProposalFacts
  readonly maxCount: number
  readonly records: NewRecord[]
  /** Summed up only when a slot is open: most rounds have nothing to grant. */
  promised: Map<InstanceName, number> | undefined
}

const isFull = (round: Round): boolean => round.records.length >= round.maxCount

const isOpen = (round: Round, right: RightState | undefined): boolean =>
  !right || (right.status === 'free' && right.grantableFromMs <= round.nowMs)

const promisedIn = (round: Round): Map<InstanceName, number> => {
  round.promised ??= sumPromised(round.state)
  return round.promised
}

const grant = (round: Round, { key, current, memoryMb }: OpenRight, agent: AgentFacts): void => {
  round.records.push({
    kind: 'right.grant',
    right: key,
    instance: agent.instance,
    incarnation: agent.incarnation,
    expectedFence: current?.fence ?? 0
  })
  if (memoryMb === 0) return
  const promised = promisedIn(round)
  promised.set(agent.instance, (promised.get(agent.instance) ?? 0) + memoryMb)
}

const revoke = (round: Round, right: RightState): void => {
  round.records.push({ kind: 'right.revoke', right: right.key, fence: right.fence })
}

// A slot that is being given up still takes its place: its holder may have the model loaded.
const findHolders = (state: AgreedState, { replicas }: TargetRights): readonly AgentFacts[] => {
  const holders: AgentFacts[] = []
  for (const right of replicas.values()) {
    const agent = right.status === 'free' ? undefined : state.agents.get(right.holder)
    if (agent) holders.push(agent)
  }
  return holders
}

const findOpenSlots = (round: Round, target: ModelId, { replicas }: TargetRights, model: ModelSpec): readonly OpenRight[] => {
  const open: OpenRight[] = []
  for (let slotIndex = 0; slotIndex < model.maxReplicas; slotIndex += 1) {
    const current = replicas.get(slotIndex)
    if (isOpen(round, current)) open.push({ key: { kind: 'replica', target, slotIndex }, current, memoryMb: model.memoryMb })
  }
  return open
}

const grantKeys = (round: Round, target: ModelId, rights: TargetRights, candidates: Candidates, holders: readonly AgentFacts[]): void => {
  const current = rights.keys
  if (isFull(round) || !isOpen(round, current) || !round.facts.mayPropose(target)) return
  // The holder of a slot decides on its own runs without asking anybody else.
  const holder = holders.find(agent => candidates.includes(agent)) ??
    chooseHolder({ target, memoryMb: 0, candidates, holders: [], promised: new Map() })
  if (holder) grant(round, { key: { kind: 'keys', target }, current, memoryMb: 0 }, holder)
}

const grantModel = (round: Round, target: ModelId, model: ModelSpec, candidates: Candidates): void => {
  const rights = indexRights(round.state).get(target) ?? noTargetRights
  const open = findOpenSlots(round, target, rights, model)
  if (open.length === 0 && !isOpen(round, rights.keys)) return
  const holders = [...findHolders(round.state, rights)]
  if (open.length > 0 && round.facts.mayPropose(target)) {
    for (const right of open) {
      if (isFull(round)) return
      const holder = chooseHolder({ target, memoryMb: model.memoryMb, candidates, holders, promised: promisedIn(round) })
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
    state, nowMs, facts, maxCount: facts.maxCount ?? PROPOSAL_BATCH, records: [], promised: undefined
  }
  const leaving = new Set(instances.filter(instance => instance.leaving).map(instance => instance.name))
  for (const right of findRevokes(state, leaving)) {
    if (isFull(round)) break
    if (facts.mayPropose(right.key.target)) revoke(round, right)
  }
  const candidates = groupCandidates(state, instances)
  for (const service of listServices(state)) {
    if (isFull(round)) break
    const serving = candidates.get(service)
    if (serving) grantService(round, service, serving)
  }
  return round.records
}
