import { sleep } from '@figmount/base'

import { LEASE_CALL_TIMEOUT_MS, LEASE_RETRY_MS, MAX_LEASE_RETRY_MS } from './constants.js'

import type { Fault, TimerService } from '@figmount/base'
import type { AppendOutcome, NewRecord, WritableFeed } from '@figmount/fleet'

interface Options {
  readonly feed: WritableFeed
  readonly timers: TimerService
  readonly answered: () => void
  readonly failed: (fault: Fault, beganMs: number) => void
}

/** What has become of records. */
export type AppendResult =
  | 'appended'
  /** The feed has moved on: nothing was appended. */
  | 'moved'
  /** The store has come back from an older copy meanwhile: the records stand after others than their writer has read. */
  | 'elsewhere'
  /** No answer: they may have been appended, or may still be. */
  | 'unknown'

/** Writes records of the lease feed. */
export interface LeaseWriter {
  /** Appends records, only at `atOffset` if it is given. */
  readonly append: (records: readonly NewRecord[], atOffset?: number) => Promise<AppendResult>
  /** Removes a lease, as long as it has not expired. */
  readonly remove: (key: string, lifetimeMs: number) => Promise<void>
  /** Time until the next attempt to take a lease: the store is not called again at once after it failed. */
  readonly pauseLeftMs: () => number
}

const resultOf = (outcome: AppendOutcome, atOffset: number | undefined): AppendResult => {
  if (outcome.type === 'moved') return 'moved'
  return atOffset === undefined || outcome.offset === atOffset ? 'appended' : 'elsewhere'
}

/** Creates the writer of one agent. */
export const createLeaseWriter = ({ feed, timers, answered, failed }: Options): LeaseWriter => {
  let pauseMs = 0
  let pausedUntilMs = -Infinity

  const noteFailure = (fault: Fault, beganMs: number): void => {
    pauseMs = Math.min(MAX_LEASE_RETRY_MS, Math.max(LEASE_RETRY_MS, pauseMs * 2))
    pausedUntilMs = timers.nowMs() + pauseMs
    failed(fault, beganMs)
  }

  const noteAnswer = (): void => {
    pauseMs = 0
    pausedUntilMs = -Infinity
    answered()
  }

  const append = async (records: readonly NewRecord[], atOffset?: number): Promise<AppendResult> => {
    const beganMs = timers.nowMs()
    const result = await feed.append(records, atOffset, LEASE_CALL_TIMEOUT_MS).run()
    result.caseOf({ Left: fault => { noteFailure(fault, beganMs) }, Right: noteAnswer })
    return result.map<AppendResult>(outcome => resultOf(outcome, atOffset)).orDefault('unknown')
  }

  const pauseLeftMs = (): number => Math.max(0, pausedUntilMs - timers.nowMs())

  return {
    append,
    remove: async (key, lifetimeMs) => {
      const expiresMs = timers.nowMs() + lifetimeMs
      while (timers.nowMs() < expiresMs) {
        if (await append([{ key, value: undefined }]) === 'appended') return
        await sleep(timers, Math.max(LEASE_RETRY_MS, pauseLeftMs()))
      }
    },
    pauseLeftMs
  }
}
