import { runInBackground, sleep } from '@figmount/base'

import { FAST_POLL_MS, POLL_MS, REPORT_TIMEOUT_MS, SILENT_REPORTS } from './constants.js'

import type { EventLog, Fault, TimerService } from '@figmount/base'
import type { EnginePort, ServerReport } from '@figmount/fleet'

interface Options {
  readonly engine: EnginePort
  readonly timers: TimerService
  readonly events: EventLog
  /** True while something is expected to change soon. */
  readonly isPressing: () => boolean
  readonly take: (report: ServerReport) => void
  readonly down: (fault: Fault) => void
}

/** Reads the engine's report over and over until stopped. */
export interface EngineWatch {
  /** Reads at once instead of at the next turn. */
  readonly hurry: () => void
  readonly stop: () => void
}

/** Watches the engine beside the agent. */
export const watchEngine = ({ engine, timers, events, isPressing, take, down }: Options): EngineWatch => {
  const stopping = new AbortController()
  let nap = new AbortController()
  let silentCount = 0

  const noteFault = (fault: Fault): void => {
    silentCount += 1
    // One lost report is no failure; a refused connection is: nobody listens there.
    if (silentCount >= SILENT_REPORTS || fault.kind === 'unavailable') down(fault)
  }

  const follow = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      const result = await engine.readReport(REPORT_TIMEOUT_MS).run()
      if (stopping.signal.aborted) return
      result.caseOf({
        Left: noteFault,
        Right: report => {
          silentCount = 0
          take(report)
        }
      })
      nap = new AbortController()
      await sleep(timers, isPressing() ? FAST_POLL_MS : POLL_MS, nap.signal)
    }
  }

  runInBackground(events, 'engine.watch', follow())
  return {
    hurry: () => { nap.abort() },
    stop: () => {
      stopping.abort()
      nap.abort()
    }
  }
}
