import { Left, Right } from 'purify-ts'
import { BaseEvent, makeFault, runInBackground, runSafely, sleep } from '@figmount/base'

import { APPENDED_GRACE_MS, CHECK_TIMEOUT_MS, INITIAL_RETRY_MS, MAX_RETRY_MS, READ_GRACE_MS } from './constants.js'

import type { Either } from 'purify-ts'
import type { EventLog, Fault, TimerService } from '@figmount/base'
import type { CheckedFeed, FeedPage, FeedRead, FeedRecord, FeedRange, KeyedFeed, ReadControl } from './types.js'

const TAKE_STEP = 'feeds.take'

interface Options {
  readonly feed: KeyedFeed
  readonly timers: TimerService
  readonly events: EventLog
  /** Calls back when the store has come back from an older copy. */
  readonly onRestored: (listener: () => void) => () => void
  /** Time that a read waits at the store for new records; 0 polls. */
  readonly waitMs: number
  /** Time until the next read is due. Evaluated again after that time, because a peer's read may postpone the follower's own one. */
  readonly dueInMs: () => number
  /**
   * Called with records in order of their offsets, never with an older one after a newer one of the same key. `isCopy`: these are all records of
   * a store that has come back from an older copy, and may be older than what is known.
   */
  readonly take: (records: readonly FeedRecord[], isCopy: boolean) => void
  /** Called with all keys after a read of the newest records, and those of later ones; a key that is missing has been removed. */
  readonly takeKeys: (keys: ReadonlySet<string>) => void
  /** Called when the store has answered a read, after the records were taken. */
  readonly noteRead?: (read: FeedRead) => void
  /** Called when the store has answered a read, before the records are taken. */
  readonly noteAnswered?: (beganMs: number) => void
  /** Called when the end of the feed shows records which the read that waits has not brought. */
  readonly missed?: (endOffset: number, waitedMs: number) => void
  /** Called with each read that fails, while `lost` is called with the first one of an outage. */
  readonly noteFailed?: (beganMs: number) => void
  readonly lost: (fault: Fault) => void
  readonly regained: (outageMs: number) => void
}

/** Follows one feed of the store, by its own reads and by records that peers have read. */
export interface FeedFollower {
  /** Applies the newest record of a feed of which only that one counts, as a peer has it. The follower's own reads continue after it. */
  readonly offerNewest: (record: FeedRecord) => void
  /** Applies a range that a peer has read. Returns true when the range leaves no gap, so that the follower's own reads continue after it. */
  readonly offerRange: (stretch: FeedRange) => boolean
  /** Abandons the read that is waiting and reads again at once. */
  readonly readNow: () => void
  /** Begins the next read as soon as the current one has ended, though it is not due yet. */
  readonly readSoon: () => void
  /** Asks for the end of the feed, beside the read that waits: one on a dead connection looks like one for which there is nothing new. */
  readonly checkEnd: (readEnd: CheckedFeed['readEnd']) => Promise<void>
  /** The store has just appended records that end here. A read that waits has brought them a moment later. */
  readonly noteAppended: (endOffset: number) => void
  /** Time since the end of the feed showed records that have not been taken; 0 if they have. */
  readonly behindMs: () => number
  /** Ends a read that waits at the store, unless its answer has begun. The next one begins when it is due. */
  readonly pause: () => void
  /** Time since the latest part of the answer to the current read; Infinity while none arrives. */
  readonly quietMs: () => number
  /** The latest read has succeeded. */
  readonly isFollowing: () => boolean
  readonly stop: () => void
}

/** Follows a feed until it is stopped. */
export const createFeedFollower = (options: Options): FeedFollower => {
  const { feed, timers } = options
  const stopping = new AbortController()
  const newestOffset = new Map<string, number>()
  let outageSinceMs: number | undefined
  let nextOffset: number | undefined
  let abandonRead: (given: Either<Fault, FeedPage> | undefined) => void = () => {}
  let progressMs = -Infinity
  let knownEra: number | undefined
  let readBeganMs = -Infinity
  /** The end of the feed when records were last missed, and since when. */
  let missed = { endOffset: -1, sinceMs: Infinity }
  let isChecking = false
  /** Aborts once a read is wanted that has not begun yet. */
  let wanted = new AbortController()

  const noteDropped = ({ key, offset }: FeedRecord): void => {
    options.events.emit(BaseEvent.recordDropped, { peer: feed.name, item: key, offset, detail: String(newestOffset.get(key)) })
  }

  /** Returns true if the page is the first one of its era, and not of the first era that the process has seen. */
  const noteEra = ({ era, nextOffset: endOffset }: FeedPage): boolean => {
    if (era === undefined || era === knownEra) return false
    const isRestored = knownEra !== undefined
    knownEra = era
    if (isRestored) options.events.emit(BaseEvent.storeRestored, { peer: feed.name, version: String(era), offset: endOffset })
    return isRestored
  }

  const accept = (records: readonly FeedRecord[], isOwnRead = false, isCopy = false): void => {
    const newRecords: FeedRecord[] = []
    // The newest records come sorted by their keys.
    for (const record of [...records].sort((one, other) => one.offset - other.offset)) {
      // Guards against an older value that arrives late, from a slow answer or a peer: it would restore a configuration or a
      // server entry that has been replaced. The record with the greater offset is the newer one, also in a later era of the store.
      if (record.offset <= (newestOffset.get(record.key) ?? -1)) {
        if (isOwnRead && record.offset < (newestOffset.get(record.key) ?? -1)) noteDropped(record)
        continue
      }
      newestOffset.set(record.key, record.offset)
      newRecords.push(record)
    }
    if (newRecords.length === 0 && !isCopy) return
    // Guards against a record that its taker can't handle: the feed would not be followed any more.
    runSafely(options.events, TAKE_STEP, feed.name, () => { options.take(newRecords, isCopy) })
  }

  const acceptAll = (page: FeedPage): void => {
    accept(page.records, true, noteEra(page))
    const keys = new Set(page.records.map(record => record.key))
    // Guards against a key that counts as removed by an answer older than its record, which a peer has sent: it would not be taken again.
    for (const [key, offset] of newestOffset) {
      if (offset >= page.nextOffset) keys.add(key)
    }
    options.takeKeys(keys)
  }

  const isBehind = (): boolean => nextOffset !== undefined && missed.endOffset > nextOffset

  // Guards against a connection that has died silently, without an answer or an error. The read times out and is repeated on
  // another connection.
  const readStore = async (control: ReadControl): Promise<Either<Fault, FeedPage>> => {
    if (nextOffset === undefined) return await feed.readNewest(READ_GRACE_MS, control).run()
    // After an outage the store may have come back from an older copy, which a read that waits there would show late.
    const waitMs = outageSinceMs === undefined && !isBehind() ? options.waitMs : 0
    return await feed.readSince(nextOffset, waitMs, waitMs + READ_GRACE_MS, control).run()
  }

  /** One read; undefined if it was paused. A late result of an abandoned read is ignored: the next read returns the same records. */
  const readOnce = async (): Promise<Either<Fault, FeedPage> | undefined> => {
    const ending = new AbortController()
    readBeganMs = timers.nowMs()
    const control = { signal: ending.signal, noteProgress: () => { if (!ending.signal.aborted) progressMs = timers.nowMs() } }
    const abandoned = new Promise<Either<Fault, FeedPage> | undefined>(resolve => {
      abandonRead = given => {
        resolve(given)
        ending.abort()
      }
    })
    const result = await Promise.race([abandoned, readStore(control)])
    abandonRead = () => {}
    progressMs = -Infinity
    return result
  }

  const noteAnswer = (page: FeedPage, fromOffset: number | undefined, beganMs: number): void => {
    if (outageSinceMs !== undefined) options.regained(timers.nowMs() - outageSinceMs)
    outageSinceMs = undefined
    if (page.isExpired) {
      nextOffset = undefined
      return
    }
    nextOffset = Math.max(nextOffset ?? 0, page.nextOffset)
    const isWhole = fromOffset === undefined
    options.noteAnswered?.(beganMs)
    if (isWhole) acceptAll(page)
    else accept(page.records, true)
    options.noteRead?.({ stretch: { fromOffset: fromOffset ?? 0, toOffset: page.nextOffset, records: page.records }, isWhole, beganMs })
  }

  const offerRange = ({ fromOffset, toOffset, records }: FeedRange): boolean => {
    // Guards against a range that another router read before the store came back from an older copy, or that is late otherwise.
    if (nextOffset !== undefined && toOffset < nextOffset) return false
    accept(records)
    if (nextOffset === undefined || fromOffset > nextOffset) return false
    nextOffset = Math.max(nextOffset, toOffset)
    return true
  }

  const pause = (): void => { if (progressMs === -Infinity) abandonRead(undefined) }

  const noteEnd = (endOffset: number): void => {
    const nowMs = timers.nowMs()
    if (nextOffset === undefined || endOffset <= nextOffset) return
    const isNew = endOffset > missed.endOffset
    if (isNew) options.missed?.(endOffset, nowMs - readBeganMs)
    if (isNew) missed = { endOffset, sinceMs: isBehind() ? missed.sinceMs : nowMs }
    // A read that has begun since is given its time.
    if (isNew || nowMs - readBeganMs >= READ_GRACE_MS) pause()
  }

  const checkEnd = async (readEnd: CheckedFeed['readEnd']): Promise<void> => {
    if (isChecking) return
    isChecking = true
    try {
      const first = await readEnd(CHECK_TIMEOUT_MS).run()
      const answer = first.isRight() ? first : await readEnd(CHECK_TIMEOUT_MS).run()
      answer.ifRight(noteEnd)
    } finally {
      isChecking = false
    }
  }

  const waitUntilDue = async (): Promise<void> => {
    for (let remainingMs = options.dueInMs(); remainingMs > 0 && !wanted.signal.aborted && !stopping.signal.aborted; remainingMs = options.dueInMs()) {
      await sleep(timers, remainingMs, wanted.signal)
    }
  }

  const noteFault = (fault: Fault, beganMs: number): void => {
    options.noteFailed?.(beganMs)
    if (outageSinceMs !== undefined) return
    outageSinceMs = timers.nowMs()
    options.lost(fault)
  }

  const noteResult = (result: Either<Fault, FeedPage>, fromOffset: number | undefined, beganMs: number): void => {
    result.caseOf({ Left: fault => { noteFault(fault, beganMs) }, Right: page => { noteAnswer(page, fromOffset, beganMs) } })
  }

  const follow = async (): Promise<void> => {
    let retryMs = INITIAL_RETRY_MS
    while (!stopping.signal.aborted) {
      const fromOffset = nextOffset
      const beganMs = timers.nowMs()
      wanted = new AbortController()
      const result = await readOnce()
      if (stopping.signal.aborted) return
      if (!result) {
        await waitUntilDue()
        continue
      }
      // What a listener throws must not end the reads for good.
      const isNoted = runSafely(options.events, TAKE_STEP, feed.name, () => { noteResult(result, fromOffset, beganMs) })
      if (isNoted && result.isRight()) {
        retryMs = INITIAL_RETRY_MS
        if (nextOffset !== undefined) await waitUntilDue()
        continue
      }
      await sleep(timers, retryMs, stopping.signal)
      retryMs = Math.min(MAX_RETRY_MS, retryMs * 2)
    }
  }

  // Guards against a read that waits at an offset of the copy, or beyond its end, while changes are written before it.
  const stopRestores = options.onRestored(() => {
    if (nextOffset !== undefined) abandonRead(Right({ records: [], nextOffset: 0, isExpired: true }))
  })

  runInBackground(options.events, `feeds.follow ${feed.name}`, follow())
  return {
    offerNewest: record => {
      accept([record])
      if (nextOffset !== undefined) nextOffset = Math.max(nextOffset, record.offset + 1)
    },
    offerRange,
    readNow: () => { abandonRead(Left(makeFault('timeout', 'feeds.read', feed.name, 'read again at once'))) },
    readSoon: () => { wanted.abort() },
    checkEnd,
    noteAppended: endOffset => { timers.after(APPENDED_GRACE_MS, () => { noteEnd(endOffset) }) },
    behindMs: () => isBehind() ? timers.nowMs() - missed.sinceMs : 0,
    pause,
    quietMs: () => timers.nowMs() - progressMs,
    isFollowing: () => nextOffset !== undefined && outageSinceMs === undefined,
    stop: () => {
      stopRestores()
      stopping.abort()
      wanted.abort()
    }
  }
}
