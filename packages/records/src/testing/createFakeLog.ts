/** A log in memory for tests of this package, with the failures that a real one shows. */
import { EitherAsync, Left, Right } from 'purify-ts'
import { FaultKind, makeFault } from '@figmount/base'

import type { Either } from 'purify-ts'
import type { Fault, LogOffset, TimerService } from '@figmount/base'
import type { LogRead, PlatformLogCalls } from '../log/openLog.js'
import type { RawRecord } from '../log/types.js'

/** What goes wrong with the next calls. */
export interface LogTrouble {
  /** Calls fail and have no effect. */
  isDown: boolean
  /** Appends take effect and their answers are lost. */
  losesAnswers: boolean
  /** Reads show the log as it was at this head. */
  staleHead: number
}

export interface FakeLog {
  readonly calls: PlatformLogCalls
  readonly trouble: LogTrouble
  readonly records: readonly RawRecord[]
  readonly appendSizes: readonly number[]
  /** Drops records below an offset. */
  readonly expire: (oldestOffset: number) => void
}

const failure = (): Either<Fault, never> => Left(makeFault(FaultKind.Unavailable, 'log', 'fake', 'down'))

export const createFakeLog = (timers: TimerService): FakeLog => {
  const records: RawRecord[] = []
  const appendSizes: number[] = []
  const trouble: LogTrouble = { isDown: false, losesAnswers: false, staleHead: Infinity }
  let oldest = 0
  let wakes: Array<() => void> = []

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
    wakes.push(() => {
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
    const due = wakes
    wakes = []
    for (const wake of due) wake()
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
