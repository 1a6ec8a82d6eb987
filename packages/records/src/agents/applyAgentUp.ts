import { MAX_GONE_AGENTS } from '../fold/constants.js'
import { applied, ignored } from '../fold/outcomes.js'

import type { Draft } from '../fold/openDraft.js'
import type { FoldOutcome, LogRecord, PlacedRecord } from '../fold/types.js'
import type { AgentFacts } from './types.js'

type AgentUp = Extract<LogRecord, { kind: 'agent.up' }>

// Instances may come and go under ever new names; this bounds the number of gone ones in the state.
const deleteOldestGone = (draft: Draft): void => {
  const gone = [...draft.state.agents.values()].filter(agent => agent.gone)
  if (gone.length <= MAX_GONE_AGENTS) return
  const oldestFirst = gone.toSorted((a, b) => a.offset - b.offset)
  for (const agent of oldestFirst.slice(0, gone.length - MAX_GONE_AGENTS)) {
    draft.change('agents').delete(agent.instance)
  }
}

/**
 * Applies an agent's announcement. Over a restart the agent keeps its rights and a drain set by an operator.
 * A delayed announcement of an earlier incarnation is ignored: it would replace the incarnation that
 * runs now, whose releases and renewals the fold would then ignore.
 */
export const applyAgentUp = (draft: Draft, placed: PlacedRecord, record: AgentUp): FoldOutcome => {
  const known = draft.state.agents.get(record.instance)
  if (known && record.incarnation < known.incarnation) return ignored(`incarnation ${known.incarnation} came up later`)
  const facts: AgentFacts = {
    instance: record.instance,
    incarnation: record.incarnation,
    dataCentre: record.dataCentre,
    services: record.services,
    backendKind: record.backendKind,
    memoryCapacityMb: record.memoryCapacityMb,
    enforcesFence: record.enforcesFence,
    offset: placed.offset,
    draining: known?.draining ?? false,
    gone: false
  }
  draft.change('agents').set(record.instance, facts)
  if (!known) deleteOldestGone(draft)
  return applied
}
