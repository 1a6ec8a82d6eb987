import { makeModelId, rankByRendezvous } from '@figmount/base'
import { findService, listServices, rightIdOf } from '@figmount/records'

import type { InstanceName, ModelId, ServiceName } from '@figmount/base'
import type { AgentFacts, AgreedState, ModelSpec, NewRecord, RightKey } from '@figmount/records'
import type { ProposalView, ProposeRights } from './types.js'

/** Agents that may be granted rights of a service. */
const receiversOf = ({ state, liveAgents }: ProposalView, service: ServiceName): readonly AgentFacts[] =>
  [...state.agents.values()].filter(agent =>
    !agent.gone && !agent.draining && liveAgents.has(agent.instance) && agent.services.includes(service))

const grantOf = (state: AgreedState, right: RightKey, agent: AgentFacts): NewRecord => ({
  kind: 'right.grant',
  right,
  instance: agent.instance,
  incarnation: agent.incarnation,
  expectedFence: state.rights.get(rightIdOf(right))?.fence ?? 0
})

const isGrantable = (state: AgreedState, right: RightKey): boolean => {
  const known = state.rights.get(rightIdOf(right))
  return !known || (known.status === 'free' && state.asOfMs >= known.grantableFromMs)
}

const slotsOf = (target: ModelId, model: ModelSpec): readonly RightKey[] =>
  Array.from({ length: model.maxReplicas }, (_, slotIndex) => ({ kind: 'replica', target, slotIndex }))

const holderOf = (state: AgreedState, right: RightKey): InstanceName | undefined => {
  const known = state.rights.get(rightIdOf(right))
  return known && known.status !== 'free' ? known.holder : undefined
}

/** Grants for one model: one slot to an agent, in the order of its rendezvous rank, and the keys to the first. */
const grantsFor = (state: AgreedState, target: ModelId, model: ModelSpec, agents: readonly AgentFacts[]): readonly NewRecord[] => {
  const slots = slotsOf(target, model)
  const taken = new Set(slots.flatMap(slot => holderOf(state, slot) ?? []))
  const ranked = rankByRendezvous(target, agents.map(agent => agent.instance)).flatMap(name => agents.find(agent => agent.instance === name) ?? [])
  const unused = ranked.filter(agent => !taken.has(agent.instance))
  const grants: NewRecord[] = []
  for (const slot of slots.filter(right => isGrantable(state, right))) {
    const agent = unused.shift()
    if (!agent) break
    grants.push(grantOf(state, slot, agent))
  }
  const keys: RightKey = { kind: 'keys', target }
  const [first] = ranked
  return first && isGrantable(state, keys) ? [grantOf(state, keys, first), ...grants] : grants
}

const grantsForService = (view: ProposalView, service: ServiceName): readonly NewRecord[] => {
  const { state } = view
  const spec = findService(state, service)
  const agents = receiversOf(view, service)
  if (!spec || agents.length === 0) return []
  if (spec.kind === 'models') return spec.models.flatMap(model => grantsFor(state, makeModelId(service, model.name), model, agents))
  const keys: RightKey = { kind: 'keys', target: service as string as ModelId }
  const [first] = agents
  return first && isGrantable(state, keys) ? [grantOf(state, keys, first)] : []
}

/** Grants every free right to a live agent of its service, ahead of any request for it. */
export const proposeGrants: ProposeRights = view => {
  const proposals: NewRecord[] = []
  for (const service of listServices(view.state)) {
    proposals.push(...grantsForService(view, service))
    if (proposals.length >= view.maxCount) break
  }
  return proposals.slice(0, view.maxCount)
}
