import { runInBackground, sleep } from '@figmount/base'

import { REPORT_TIMEOUT_MS, SILENT_REPORTS } from './constants.js'

import type { EventLog, Fault, TimerService } from '@figmount/base'
import type { EnginePort, ServerReport } from '@figmount/fleet'

interface Options {
  readonly engine: EnginePort
  readonly timers: TimerService
  readonly events: EventLog
  /** Time until the next report, by what is expected to change. */
  readonly nextPollMs: () => number
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
export const watchEngine = ({ engine, timers, events, nextPollMs, take, down }: Options): EngineWatch => {
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
      await sleep(timers, nextPollMs(), nap.signal)
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
