import { applied, ignored } from '../fold/outcomes.js'

import type { Draft } from '../fold/openDraft.js'
import type { FoldOutcome, LogRecord } from '../fold/types.js'

type DrainSet = Extract<LogRecord, { kind: 'drain.set' }>

/** An operator starts or ends the drain of an agent's instance. */
export const applyDrainSet = (draft: Draft, record: DrainSet): FoldOutcome => {
  const agent = draft.state.agents.get(record.instance)
  if (!agent) return ignored(`no agent has come up on ${record.instance}`)
  if (agent.draining === record.draining) return ignored(record.draining ? 'it drains already' : 'it does not drain')
  draft.change('agents').set(record.instance, { ...agent, draining: record.draining })
  return applied
}
