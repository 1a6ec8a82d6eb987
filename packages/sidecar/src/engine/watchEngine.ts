import { FaultKind, runInBackground, runSafely, sleep } from '@figmount/base'

import { REPORT_TIMEOUT_MS, MAX_OUTDATED_REPORTS, MISSED_REPORT_THRESHOLD } from './constants.js'

import type { EventLog, Fault, TimerService } from '@figmount/base'
import type { EnginePort, ServerReport } from '@figmount/fleet'

interface Options {
  readonly engine: EnginePort
  readonly timers: TimerService
  readonly events: EventLog
  /** Time until the next report; shorter when a change is expected soon. */
  readonly nextPollMs: () => number
  readonly take: (report: ServerReport) => void
  readonly down: (fault: Fault) => void
}

/** Polls the engine's report until stopped. */
export interface EngineWatch {
  /** Ends the pause between two reports and polls at once. */
  readonly pollNow: () => void
  readonly stop: () => void
}

/** The start is the same, and the second report is of an earlier time: an engine's order count only grows, and it stays on its way out. */
const isOutdated = (newest: ServerReport, { startedAtUnixMs, orderCount, isDraining }: ServerReport): boolean =>
  startedAtUnixMs !== undefined && startedAtUnixMs === newest.startedAtUnixMs && (orderCount < newest.orderCount || (newest.isDraining && !isDraining))

/** Starts polling the reports of the agent's engine. */
export const watchEngine = ({ engine, timers, events, nextPollMs, take, down }: Options): EngineWatch => {
  const stopping = new AbortController()
  let pause = new AbortController()
  let missedCount = 0
  let newest: ServerReport | undefined
  let outdatedCount = 0

  const noteFault = (fault: Fault): void => {
    const isRefused = fault.kind === FaultKind.Unavailable
    // An engine that has said that it leaves takes no more connections from some time on, and finishes what it runs. Its end closes the
    // connections of its runs; what starts at its address answers.
    if (isRefused && newest?.isDraining) return
    missedCount += 1
    // One missed report does not mean that the engine is down, but a refused connection does: no process listens there.
    if (missedCount >= MISSED_REPORT_THRESHOLD || isRefused) down(fault)
  }

  const noteReport = (report: ServerReport): void => {
    missedCount = 0
    outdatedCount = newest && isOutdated(newest, report) ? outdatedCount + 1 : 0
    if (outdatedCount > 0 && outdatedCount <= MAX_OUTDATED_REPORTS) return
    newest = report
    take(report)
  }

  const pollUntilStopped = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      const result = await engine.readReport(REPORT_TIMEOUT_MS).run()
      if (stopping.signal.aborted) return
      // What a listener throws must not end the polls for good.
      runSafely(events, 'engine.take', 'engine', () => { result.caseOf({ Left: noteFault, Right: noteReport }) })
      pause = new AbortController()
      await sleep(timers, nextPollMs(), pause.signal)
    }
  }

  runInBackground(events, 'engine.watch', pollUntilStopped())
  return {
    pollNow: () => { pause.abort() },
    stop: () => {
      stopping.abort()
      pause.abort()
    }
  }
}
