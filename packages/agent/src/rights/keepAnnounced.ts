import { runInBackground, sleep } from '@figmount/base'

import { AgentEvent } from '../events.js'

import type { Unsubscribe } from '@figmount/base'
import type { AgentContext } from '../agent/types.js'
import type { AgentFacts, NewRecord } from '@figmount/records'

/** Period at which the announcement is compared with the agreed state. */
const RETRY_MS = 200

/** The facts about the engine that an agent announces in addition to its settings. */
export interface EngineFacts {
  readonly memoryCapacityMb: number
  readonly enforcesFence: boolean
}

/** True if the log contains this run of the agent. Before that it cannot tell which rights are its own. */
export const isAnnounced = ({ records, instance, incarnation }: AgentContext): boolean =>
  records.state().agents.get(instance)?.incarnation === incarnation

const needsAnnouncement = (known: AgentFacts | undefined, facts: EngineFacts, context: AgentContext): boolean =>
  !isAnnounced(context) || (known?.gone ?? false) || known?.memoryCapacityMb !== facts.memoryCapacityMb || known.enforcesFence !== facts.enforcesFence

/**
 * Keeps this run of the agent announced in the log. It is announced again after a void that took the running instance
 * for gone, because an agent without an announcement is never granted a right.
 */
export const keepAnnounced = (context: AgentContext, facts: () => EngineFacts | undefined): Unsubscribe => {
  const { records, events, timers, settings, instance, incarnation } = context
  const stopping = new AbortController()

  const announce = async (engineFacts: EngineFacts): Promise<void> => {
    const record: NewRecord = {
      kind: 'agent.up',
      instance,
      incarnation,
      dataCentre: settings.process.data_centre as AgentFacts['dataCentre'],
      services: settings.backend.services,
      backendKind: settings.backend.kind,
      ...engineFacts
    }
    const result = await records.append(record).run()
    result.caseOf({
      Right: ({ offset }) => events.emit(AgentEvent.announced, { offset }),
      Left: fault => events.emit(AgentEvent.appendFailed, { step: fault.step, peer: fault.peer, reason: fault.message, detail: record.kind })
    })
  }

  const run = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      const current = facts()
      if (records.isReady() && current && needsAnnouncement(records.state().agents.get(instance), current, context)) await announce(current)
      await sleep(timers, RETRY_MS, stopping.signal)
    }
  }

  runInBackground(events, 'rights.announce', run())
  return () => stopping.abort()
}
