import { EitherAsync, Left, Right } from 'purify-ts'
import { makeFault } from '@figmount/base'

import type { Either } from 'purify-ts'
import type { Fault, TimerService, VirtualTimers } from '@figmount/base'
import type { AppendOutcome, FeedPage, FeedRecord, NewRecord, WritableFeed } from '@figmount/fleet'

/** How the store treats the calls of one agent. */
export const StoreMode = {
  Healthy: 'healthy',
  /** Calls fail at once. */
  Down: 'down',
  /** Calls get no answer, and nothing is done. */
  Silent: 'silent',
  /** Appends are carried out and get no answer. */
  AnswerLost: 'answerLost',
  /** Appends are carried out seconds later if their condition still holds. */
  Late: 'late'
} as const

export type StoreMode = typeof StoreMode[keyof typeof StoreMode]

/** The clock and timers of one process, which can be suspended and killed. */
export interface TestProcess {
  readonly timers: TimerService
  readonly freeze: () => void
  readonly wake: () => void
  readonly kill: () => void
  readonly isRunning: () => boolean
}

/** A call to the store. */
export interface StoreCall {
  readonly instance: string
  readonly atMs: number
}

interface Options {
  readonly timers: VirtualTimers
  readonly random: () => number
  /** Called for each record; `calledMs`: when its append was called; `isElsewhere`: it fits by chance what its writer has read before the store came back. */
  readonly added: (record: NewRecord, calledMs: number, isElsewhere: boolean) => void
}

/** The store as one process uses it. */
export interface TestPort extends WritableFeed {
  readonly onRestored: (listener: () => void) => () => void
}

/** A lease feed whose store fails for some agents. */
export interface FaultyFeed {
  readonly portOf: (instance: string, process: TestProcess) => TestPort
  readonly setMode: (instance: string, mode: StoreMode) => void
  readonly modeOf: (instance: string) => StoreMode
  /** Deletes all records but the newest of each key. */
  readonly dropHistory: () => void
  /** Comes back from a copy without the last records; each process notices it at its next call or shortly afterwards. */
  readonly restore: (lostCount: number) => void
  /** Appends a record of another writer. */
  readonly add: (record: NewRecord) => void
  readonly calls: readonly StoreCall[]
}

/** Time that each call takes one way. */
const WAY_MS = 10
const LATE_MIN_MS = 1_000
const LATE_MAX_MS = 6_000
/** A process reads other feeds of the store and notices within this time that it has come back. */
const NOTICE_MS = 1_200
/** Offsets of one era. */
const ERA_OFFSETS = 1_000_000

const NO_ANSWER: Either<Fault, never> = Left(makeFault('timeout', 'feed', 'store', 'no answer'))

/** Creates a process whose wall clock is ahead by `skewMs()`. While it is frozen, timers that become due wait. */
export const createTestProcess = (timers: VirtualTimers, skewMs: () => number): TestProcess => {
  let isDead = false
  let isFrozen = false
  let deferred: Array<() => void> = []
  const run = (fire: () => void): void => {
    if (isDead) return
    if (isFrozen) deferred.push(fire)
    else fire()
  }
  return {
    timers: {
      nowMs: timers.nowMs,
      unixMs: () => timers.unixMs() + skewMs(),
      after: (delayMs, fire) => {
        let isCancelled = false
        const cancel = timers.after(delayMs, () => { run(() => { if (!isCancelled) fire() }) })
        return () => {
          isCancelled = true
          cancel()
        }
      },
      every: (periodMs, fire) => timers.every(periodMs, () => { if (!isFrozen && !isDead) fire() })
    },
    freeze: () => { isFrozen = true },
    wake: () => {
      isFrozen = false
      const due = deferred
      deferred = []
      for (const fire of due) run(fire)
    },
    kill: () => { isDead = true },
    isRunning: () => !isDead && !isFrozen
  }
}

/** Creates the feed. A call that was sent arrives even if its process is killed or frozen meanwhile. */
export const createFaultyFeed = ({ timers, random, added }: Options): FaultyFeed => {
  const records: FeedRecord[] = []
  const calls: StoreCall[] = []
  const modes = new Map<string, StoreMode>()
  const waiters = new Set<() => void>()
  let firstOffset = 0
  let era = 0

  const positionOf = (index: number): number => era * ERA_OFFSETS + index
  const isOfEra = (position: number): boolean => Math.floor(position / ERA_OFFSETS) === era

  const modeOf = (instance: string): StoreMode => modes.get(instance) ?? StoreMode.Healthy

  const notify = (): void => {
    const notified = [...waiters]
    waiters.clear()
    for (const wake of notified) wake()
  }

  const add = (record: NewRecord, calledMs: number, isElsewhere = false): void => {
    records.push({ key: record.key, value: record.value, offset: positionOf(records.length) })
    added(record, calledMs, isElsewhere)
  }

  const newest = (): readonly FeedRecord[] => {
    const byKey = new Map(records.map(record => [record.key, record]))
    return [...byKey.values()].filter(record => record.value !== undefined)
  }

  const page = (found: readonly FeedRecord[], isExpired = false): Either<Fault, FeedPage> =>
    Right({ records: found, nextOffset: positionOf(records.length), isExpired })

  type Answer<T> = (result: Either<Fault, T>) => void

  const call = <T>(instance: string, process: TestProcess, timeoutMs: number, arrive: (mode: StoreMode, answer: Answer<T>) => void): EitherAsync<Fault, T> =>
    EitherAsync.fromPromise(async () => await new Promise<Either<Fault, T>>(resolve => {
      calls.push({ instance, atMs: timers.nowMs() })
      process.timers.after(timeoutMs, () => { resolve(NO_ANSWER) })
      // The mode counts on the way there and back: a wait at the store ends with the connection.
      const answer: Answer<T> = result => {
        if (modeOf(instance) === StoreMode.Silent) return
        process.timers.after(WAY_MS, () => { resolve(modeOf(instance) === StoreMode.Down ? NO_ANSWER : result) })
      }
      timers.after(WAY_MS, () => {
        const mode = modeOf(instance)
        if (mode === StoreMode.Silent) return
        if (mode === StoreMode.Down) answer(NO_ANSWER)
        else arrive(mode, answer)
      })
    }))

  const readSince = (position: number, waitMs: number, answer: Answer<FeedPage>): void => {
    const offset = position % ERA_OFFSETS
    const isGone = (): boolean => !isOfEra(position) || offset < firstOffset
    const finish = (): void => {
      waiters.delete(finish)
      answer(page(isGone() ? [] : records.slice(offset), isGone()))
    }
    if (isGone() || offset < records.length) return finish()
    waiters.add(finish)
    timers.after(waitMs, () => { if (waiters.has(finish)) finish() })
  }

  const append = (added: readonly NewRecord[], atOffset: number | undefined, calledMs: number): AppendOutcome => {
    // The store knows offsets only: one of an earlier era may fit by chance.
    if (atOffset !== undefined && atOffset % ERA_OFFSETS !== records.length) return { type: 'moved' }
    const offset = positionOf(records.length)
    for (const record of added) add(record, calledMs, atOffset !== undefined && atOffset !== offset)
    notify()
    return { type: 'appended', offset }
  }

  /** What one process knows of the store's era. It notices a later one by any answer, and at the latest by its reads of other feeds. */
  const createEraView = (instance: string, process: TestProcess) => {
    const listeners = new Set<() => void>()
    let knownEra = era
    const note = (): void => {
      if (knownEra === era) return
      knownEra = era
      for (const listener of listeners) listener()
    }
    process.timers.every(NOTICE_MS * (0.5 + random() / 2), () => { if (modeOf(instance) === StoreMode.Healthy) note() })
    const onRestored = (listener: () => void): (() => void) => {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    }
    const noteAnswered = <T>(called: EitherAsync<Fault, T>): EitherAsync<Fault, T> => called.ifRight(note)
    return { onRestored, noteAnswered }
  }

  return {
    portOf: (instance, process) => {
      const view = createEraView(instance, process)
      const callStore = <T>(timeoutMs: number, arrive: (mode: StoreMode, answer: Answer<T>) => void): EitherAsync<Fault, T> =>
        view.noteAnswered(call<T>(instance, process, timeoutMs, arrive))
      return {
        name: 'leases',
        onRestored: view.onRestored,
        readNewest: timeoutMs => callStore<FeedPage>(timeoutMs, (_mode, answer) => { answer(page(newest())) }),
        readSince: (offset, waitMs, timeoutMs) => callStore<FeedPage>(timeoutMs, (_mode, answer) => { readSince(offset, waitMs, answer) }),
        append: (added, atOffset, timeoutMs) => {
          const calledMs = timers.nowMs()
          return callStore<AppendOutcome>(timeoutMs, (mode, answer) => {
            const lateMs = mode === StoreMode.Late ? LATE_MIN_MS + random() * (LATE_MAX_MS - LATE_MIN_MS) : 0
            if (lateMs > 0) return timers.after(lateMs, () => { answer(Right(append(added, atOffset, calledMs))) })
            const outcome = append(added, atOffset, calledMs)
            if (mode !== StoreMode.AnswerLost) answer(Right(outcome))
          })
        }
      }
    },
    setMode: (instance, mode) => {
      modes.set(instance, mode)
      if (mode === StoreMode.Down) notify()
    },
    modeOf,
    dropHistory: () => { firstOffset = records.length },
    restore: lostCount => {
      records.splice(Math.max(0, records.length - lostCount))
      firstOffset = Math.min(firstOffset, records.length)
      era += 1
      for (const [index, record] of records.entries()) records[index] = { ...record, offset: positionOf(index) }
      notify()
    },
    add: record => {
      add(record, timers.nowMs())
      notify()
    },
    calls
  }
}
