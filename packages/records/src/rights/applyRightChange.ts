import { AUTHORITY_MS, MAX_KEY_LEAD_MS } from './constants.js'
import { rightIdOf } from './rightId.js'
import { findModel, findService } from '../config/selectors.js'
import { applied, ignored } from '../fold/outcomes.js'

import type { ServiceName } from '@figmount/base'
import type { Draft } from '../fold/openDraft.js'
import type { AgreedState, FoldOutcome, LogRecord } from '../fold/types.js'
import type { RightState } from './types.js'

type RightRevoke = Extract<LogRecord, { kind: 'right.revoke' }>
type RightRelease = Extract<LogRecord, { kind: 'right.release' }>
type RightRenew = Extract<LogRecord, { kind: 'right.renew' }>

const findHeldRight = (state: AgreedState, record: RightRevoke | RightRelease | RightRenew): RightState | string => {
  const right = state.rights.get(rightIdOf(record.right))
  if (!right || right.status === 'free') return 'the right is free'
  if (right.fence !== record.fence) return `the fence is ${right.fence}`
  return right
}

const isTargetInForce = (state: AgreedState, right: RightState): boolean =>
  right.key.target.includes('/')
    ? findModel(state, right.key.target) !== undefined
    : findService(state, right.key.target as string as ServiceName) !== undefined

/** Requests that the holder releases a right. The holder keeps it, without accepting new work, until it does. */
export const applyRevoke = (draft: Draft, record: RightRevoke): FoldOutcome => {
  const right = findHeldRight(draft.state, record)
  if (typeof right === 'string') return ignored(right)
  if (right.status === 'revoked') return ignored('the right is revoked already')
  draft.change('rights').set(right.id, { ...right, status: 'revoked' })
  return applied
}

/**
 * Frees a right that its holder released after its engine confirmed the unload.
 * Guards against a release that is delayed while its agent restarts: the new incarnation still holds
 * the right and loads the model; the late release would then free the right although a replica is loaded,
 * and a second one could be granted elsewhere. So only a release from the holder's latest incarnation
 * counts, and an agent acts only after it has read back its own `agent.up`.
 */
export const applyRelease = (draft: Draft, record: RightRelease): FoldOutcome => {
  const { state } = draft
  const right = findHeldRight(state, record)
  if (typeof right === 'string') return ignored(right)
  if (record.writer !== right.holder) return ignored(`the holder is ${right.holder}`)
  const incarnation = state.agents.get(right.holder)?.incarnation
  if (record.writerIncarnation !== incarnation) return ignored('the holder has restarted since')
  if (isTargetInForce(state, right)) {
    draft.change('rights').set(right.id, { ...right, status: 'free', keysFromMs: state.asOfMs + MAX_KEY_LEAD_MS, grantableFromMs: 0 })
  } else {
    draft.change('rights').delete(right.id)
  }
  return applied
}

/** Starts a new tenure of a `keys` right for a holder that has restarted. */
export const applyRenew = (draft: Draft, record: RightRenew): FoldOutcome => {
  const { state } = draft
  const right = findHeldRight(state, record)
  if (typeof right === 'string') return ignored(right)
  if (right.key.kind !== 'keys') return ignored('only a keys right has a tenure')
  if (right.status === 'revoked') return ignored('the right is revoked')
  if (record.writer !== right.holder) return ignored(`the holder is ${right.holder}`)
  if (record.incarnation !== state.agents.get(right.holder)?.incarnation) return ignored('the holder has restarted since')
  if (record.incarnation === right.incarnation) return ignored('the tenure is renewed already')
  const { asOfMs } = state
  // The holder's previous run may still be active, paused or cut off, until its authority expires.
  const keysFromMs = asOfMs + AUTHORITY_MS + MAX_KEY_LEAD_MS
  draft.change('rights').set(right.id, { ...right, incarnation: record.incarnation, tenureFromMs: asOfMs, keysFromMs })
  return applied
}
