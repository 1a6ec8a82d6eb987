import { runInBackground, sleep } from '@figmount/base'

import { AgentEvent } from '../events.js'

import type { NewRecord } from '@figmount/records'
import type { AgentContext } from '../agent/types.js'

/** Appends a record, retrying with the same record id until the log accepts it or `isStillWanted` returns false. */
export type AppendReliably = (record: NewRecord, isStillWanted?: () => boolean) => void

const FIRST_RETRY_MS = 500
const MAX_RETRY_MS = 10_000

/** Creates the appender; it abandons open appends when `signal` aborts. */
export const createReliableAppender = (context: AgentContext, signal: AbortSignal): AppendReliably => {
  const { records, events, timers, incarnation } = context
  let idCount = 0

  const run = async (record: NewRecord, isStillWanted: () => boolean): Promise<void> => {
    const recordId = `${incarnation}.a${idCount++}`
    for (let retryMs = FIRST_RETRY_MS; !signal.aborted && isStillWanted(); retryMs = Math.min(MAX_RETRY_MS, 2 * retryMs)) {
      const result = await records.append({ ...record, recordId } as NewRecord).run()
      if (result.isRight()) return
      const fault = result.extract() as { readonly step: string, readonly peer: string, readonly message: string }
      events.emit(AgentEvent.appendFailed, { step: fault.step, peer: fault.peer, reason: fault.message, detail: record.kind })
      await sleep(timers, retryMs, signal)
    }
  }

  return (record, isStillWanted = () => true) => runInBackground(events, 'rights.append', run(record, isStillWanted))
}
