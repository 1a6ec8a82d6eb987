import { AUTHORITY_MS, MAX_KEY_LEAD_MS, VOID_GRANT_DELAY_MS } from '../rights/constants.js'
import { applied, ignored } from '../fold/outcomes.js'

import type { Draft } from '../fold/openDraft.js'
import type { FoldOutcome, LogRecord } from '../fold/types.js'
import type { RightState } from '../rights/types.js'

type InstanceVoid = Extract<LogRecord, { kind: 'instance.void' }>

const isFreedBy = (right: RightState, record: InstanceVoid): boolean =>
  right.status !== 'free' && right.holder === record.instance && right.fence <= record.upToOffset

/**
 * Frees the rights of an instance that is gone. They can be granted again only after VOID_GRANT_DELAY_MS
 * of log time: a holder that was merely paused may act on its last read until its authority expires, and
 * its last order may be executed until the order's deadline.
 * A void that was decided before the agent came up again is ignored.
 */
export const applyInstanceVoid = (draft: Draft, record: InstanceVoid): FoldOutcome => {
  const { state } = draft
  const agent = state.agents.get(record.instance)
  if (!agent) return ignored(`no agent has come up on ${record.instance}`)
  if (agent.offset > record.upToOffset) return ignored(`${record.instance} came up again at ${agent.offset}`)
  const freed = [...state.rights.values()].filter(right => isFreedBy(right, record))
  if (agent.gone && freed.length === 0) return ignored(`${record.instance} is void already`)
  draft.change('agents').set(record.instance, { ...agent, gone: true })
  const grantableFromMs = state.asOfMs + VOID_GRANT_DELAY_MS
  const keysFromMs = state.asOfMs + AUTHORITY_MS + MAX_KEY_LEAD_MS
  for (const right of freed) {
    draft.change('rights').set(right.id, { ...right, status: 'free', keysFromMs, grantableFromMs })
  }
  return applied
}
