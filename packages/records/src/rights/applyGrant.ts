import { MAX_KEY_LEAD_MS } from './constants.js'
import { rightIdOf, serviceOfTarget } from './rightId.js'
import { findModel, findService } from '../config/selectors.js'
import { applied, ignored } from '../fold/outcomes.js'

import type { Draft } from '../fold/openDraft.js'
import type { AgreedState, FoldOutcome, LogRecord, PlacedRecord } from '../fold/types.js'
import type { RightKey, RightState } from './types.js'

type RightGrant = Extract<LogRecord, { kind: 'right.grant' }>

const findTargetError = (state: AgreedState, key: RightKey): string | undefined => {
  if (key.kind === 'keys' && !key.target.includes('/')) {
    const service = findService(state, serviceOfTarget(key.target))
    return service?.kind === 'plain' ? undefined : `no plain service ${key.target} is in force`
  }
  const model = findModel(state, key.target)
  if (!model) return `no model ${key.target} is in force`
  if (key.kind === 'replica' && key.slotIndex >= model.maxReplicas) return `${key.target} may have ${model.maxReplicas} replicas`
  return undefined
}

const findHolderError = (state: AgreedState, record: RightGrant): string | undefined => {
  const agent = state.agents.get(record.instance)
  if (!agent || agent.gone) return `${record.instance} is not up`
  if (agent.incarnation !== record.incarnation) return `${record.instance} has restarted`
  if (agent.draining) return `${record.instance} drains`
  const service = serviceOfTarget(record.right.target)
  return agent.services.includes(service) ? undefined : `${record.instance} does not serve ${service}`
}

const findRightError = (state: AgreedState, record: RightGrant, right: RightState | undefined): string | undefined => {
  if (right && right.status !== 'free') return `the right is ${right.status}, held by ${right.holder}`
  if ((right?.fence ?? 0) !== record.expectedFence) return `the last fence is ${right?.fence ?? 0}`
  if (right && state.asOfMs < right.grantableFromMs) return `not to be granted before ${right.grantableFromMs}`
  return undefined
}

/**
 * Guards against a model whose replicas all depend on one instance: proposers that see different agents could grant it two
 * slots, all slots would then count as granted, and nothing would serve the model once that instance is lost.
 */
const findSecondSlotError = (state: AgreedState, { right: { kind, target }, instance }: RightGrant): string | undefined => {
  if (kind === 'keys') return undefined
  const slotCount = findModel(state, target)?.maxReplicas ?? 0
  for (let slotIndex = 0; slotIndex < slotCount; slotIndex += 1) {
    const other = state.rights.get(rightIdOf({ kind, target, slotIndex }))
    if (other && other.status !== 'free' && other.holder === instance) return `${instance} holds slot ${slotIndex} of ${target}`
  }
  return undefined
}

/**
 * The `keysFromMs` of a newly granted `keys` right. A right that is not in the state was never granted or was deleted
 * with its model. At version 1 of the service nothing can have been deleted, so no earlier holder permitted any request
 * keys and the result is 0; at later versions an earlier holder is assumed.
 */
const keysFromMsFor = (state: AgreedState, key: RightKey, known: RightState | undefined): number => {
  if (known) return known.keysFromMs
  const version = state.items.get(`service/${serviceOfTarget(key.target)}`)?.version
  return version === 1 ? 0 : state.asOfMs + MAX_KEY_LEAD_MS
}

/** Grants a free right. The record's offset becomes the right's fence, so the first of two racing grants wins. */
export const applyGrant = (draft: Draft, placed: PlacedRecord, record: RightGrant): FoldOutcome => {
  const { state } = draft
  const id = rightIdOf(record.right)
  const known = state.rights.get(id)
  const error = findTargetError(state, record.right) ??
    findHolderError(state, record) ??
    findRightError(state, record, known) ??
    findSecondSlotError(state, record)
  if (error) return ignored(error)
  draft.change('rights').set(id, {
    id,
    key: record.right,
    status: 'granted',
    holder: record.instance,
    incarnation: record.incarnation,
    fence: placed.offset,
    tenureFromMs: state.asOfMs,
    keysFromMs: keysFromMsFor(state, record.right, known),
    grantableFromMs: 0
  })
  return applied
}
