/** An in-memory log for tests of this package, with the failures of a real one. */
import { EitherAsync, Left, Right } from 'purify-ts'
import { FaultKind, makeFault } from '@figmount/base'

import type { Either } from 'purify-ts'
import type { Fault, LogOffset, TimerService } from '@figmount/base'
import type { LogRead, PlatformLogCalls } from '../log/openLog.js'
import type { RawRecord } from '../log/types.js'

/** Faults of the next calls. */
export interface LogFaults {
  /** Calls fail and have no effect. */
  isDown: boolean
  /** Appends take effect, but their answers are lost. */
  losesAnswers: boolean
  /** Reads return the log as it was at this head. */
  staleHead: number
}

export interface FakeLog {
  readonly calls: PlatformLogCalls
  readonly trouble: LogFaults
  readonly records: readonly RawRecord[]
  readonly appendSizes: readonly number[]
  /** Drops the records below an offset. */
  readonly expire: (oldestOffset: number) => void
}

const failure = (): Either<Fault, never> => Left(makeFault(FaultKind.Unavailable, 'log', 'fake', 'down'))

export const createFakeLog = (timers: TimerService): FakeLog => {
  const records: RawRecord[] = []
  const appendSizes: number[] = []
  const trouble: LogFaults = { isDown: false, losesAnswers: false, staleHead: Infinity }
  let oldest = 0
  let wakeCallbacks: Array<() => void> = []

  const answer = (fromOffset: LogOffset): LogRead => {
    const head = Math.min(records.length, trouble.staleHead)
    return {
      records: records.slice(Math.max(fromOffset, oldest), head),
      oldestOffset: oldest as LogOffset,
      headOffset: head as LogOffset
    }
  }

  const waitForMore = async (waitMs: number): Promise<void> => await new Promise(resolve => {
    const cancel = timers.after(waitMs, resolve)
    wakeCallbacks.push(() => {
      cancel()
      resolve()
    })
  })

  const read = async (fromOffset: LogOffset, waitMs: number): Promise<Either<Fault, LogRead>> => {
    if (!trouble.isDown && fromOffset >= records.length) await waitForMore(waitMs)
    return trouble.isDown ? failure() : Right(answer(fromOffset))
  }

  const append = async (payloads: readonly Uint8Array[]): Promise<Either<Fault, LogOffset>> => {
    if (trouble.isDown) return failure()
    const firstOffset = records.length as LogOffset
    appendSizes.push(payloads.length)
    for (const payload of payloads) records.push({ offset: records.length as LogOffset, appendedAtMs: timers.unixMs(), payload })
    const dueCallbacks = wakeCallbacks
    wakeCallbacks = []
    for (const wake of dueCallbacks) wake()
    return trouble.losesAnswers ? failure() : Right(firstOffset)
  }

  return {
    calls: {
      read: (fromOffset, waitMs) => EitherAsync.fromPromise(async () => await read(fromOffset, waitMs)),
      append: payloads => EitherAsync.fromPromise(async () => await append(payloads)),
      close: () => {}
    },
    trouble,
    records,
    appendSizes,
    expire: oldestOffset => { oldest = oldestOffset }
  }
}
