import { AUTHORITY_MS, KEY_AHEAD_MS } from './constants.js'
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

const findHeld = (state: AgreedState, record: RightRevoke | RightRelease | RightRenew): RightState | string => {
  const right = state.rights.get(rightIdOf(record.right))
  if (!right || right.status === 'free') return 'the right is free'
  if (right.fence !== record.fence) return `the fence is ${right.fence}`
  return right
}

const isTargetInForce = (state: AgreedState, right: RightState): boolean =>
  right.key.target.includes('/')
    ? findModel(state, right.key.target) !== undefined
    : findService(state, right.key.target as string as ServiceName) !== undefined

/** Asks the holder to give a right up. The holder keeps it, without new work, until it releases it. */
export const applyRevoke = (draft: Draft, record: RightRevoke): FoldOutcome => {
  const right = findHeld(draft.state, record)
  if (typeof right === 'string') return ignored(right)
  if (right.status === 'revoked') return ignored('the right is revoked already')
  draft.change('rights').set(right.id, { ...right, status: 'revoked' })
  return applied
}

/**
 * The holder gives a right up after its engine confirmed the unload.
 * Guards against a release that is delayed on its way while its agent restarts: the new
 * incarnation finds the right still its own and loads; the late release would then free the
 * right under it and a second replica be granted elsewhere. So only the release of the
 * incarnation that came up last counts, and an agent acts only after it has read back its own
 * `agent.up`.
 */
export const applyRelease = (draft: Draft, record: RightRelease): FoldOutcome => {
  const { state } = draft
  const right = findHeld(state, record)
  if (typeof right === 'string') return ignored(right)
  if (record.writer !== right.holder) return ignored(`the holder is ${right.holder}`)
  const incarnation = state.agents.get(right.holder)?.incarnation
  if (record.writerIncarnation !== incarnation) return ignored('the holder has restarted since')
  if (isTargetInForce(state, right)) {
    draft.change('rights').set(right.id, { ...right, status: 'free', keysFromMs: state.asOfMs + KEY_AHEAD_MS, grantableFromMs: 0 })
  } else {
    draft.change('rights').delete(right.id)
  }
  return applied
}

/** A restarted holder of a `keys` right starts its tenure anew. */
export const applyRenew = (draft: Draft, record: RightRenew): FoldOutcome => {
  const { state } = draft
  const right = findHeld(state, record)
  if (typeof right === 'string') return ignored(right)
  if (right.key.kind !== 'keys') return ignored('only a keys right has a tenure')
  if (right.status === 'revoked') return ignored('the right is revoked')
  if (record.writer !== right.holder) return ignored(`the holder is ${right.holder}`)
  if (record.incarnation !== state.agents.get(right.holder)?.incarnation) return ignored('the holder has restarted since')
  if (record.incarnation === right.incarnation) return ignored('the tenure is renewed already')
  const { asOfMs } = state
  // The run before this one may still be about, paused or cut off, until its authority runs out.
  const keysFromMs = asOfMs + AUTHORITY_MS + KEY_AHEAD_MS
  draft.change('rights').set(right.id, { ...right, incarnation: record.incarnation, tenureFromMs: asOfMs, keysFromMs })
  return applied
}
