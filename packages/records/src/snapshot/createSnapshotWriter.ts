import { SNAPSHOT_CHECK_MS, SNAPSHOT_PERIOD_MS, SNAPSHOT_RECORD_COUNT } from './constants.js'
import { splitSnapshot } from './splitSnapshot.js'
import { RecordEvent } from '../log/events.js'

import type { EventLog, LogOffset, TimerService, Unsubscribe } from '@figmount/base'
import type { FollowingClient, LogSnapshot } from '../log/types.js'

interface Options {
  readonly client: FollowingClient
  readonly timers: TimerService
  readonly events: EventLog
  /** Whether this process is the one to write, by rendezvous over the live routers. Two writers do no harm. */
  readonly isMyTurn: () => boolean
  /** Time between snapshots; at most a quarter of the log's retention. */
  readonly periodMs?: number
}

/** What a decision on a new snapshot rests on. */
export interface SnapshotNeed {
  readonly nextOffset: LogOffset
  /** Log time, or a Unix clock close to it. */
  readonly nowMs: number
  readonly periodMs: number
}

/**
 * Whether a snapshot is due. It is appended again even when nothing has changed: its own records
 * expire like all others, and a process born after that would find nothing.
 */
export const isSnapshotDue = (last: LogSnapshot | undefined, need: SnapshotNeed): boolean => {
  if (need.nextOffset === 0) return false
  if (!last) return true
  if (need.nextOffset - last.baseOffset >= SNAPSHOT_RECORD_COUNT) return true
  return need.nowMs - last.completedAtMs >= need.periodMs
}

/** Appends snapshots whenever one is due and it is this process's turn. Returns the stop. */
export const createSnapshotWriter = ({ client, timers, events, isMyTurn, periodMs = SNAPSHOT_PERIOD_MS }: Options): Unsubscribe => {
  let writing = false

  const write = async (): Promise<void> => {
    const state = client.state()
    const chunks = splitSnapshot(state, `${state.nextOffset}.${timers.unixMs()}.${events.tick()}`)
    const results = await Promise.all(chunks.map(async chunk => await client.append(chunk).run()))
    if (results.some(result => result.isLeft())) return
    events.emit(RecordEvent.snapshotAppended, { offset: state.nextOffset, count: chunks.length })
  }

  return timers.every(SNAPSHOT_CHECK_MS, () => {
    // Only at the head: a snapshot of an old state would be older than the one it replaces.
    const isFresh = timers.nowMs() - client.confirmedAtMs() < SNAPSHOT_CHECK_MS
    if (writing || !isFresh || !isMyTurn()) return
    const { nextOffset } = client.state()
    if (!isSnapshotDue(client.lastSnapshot(), { nextOffset, nowMs: timers.unixMs(), periodMs })) return
    writing = true
    write().finally(() => { writing = false }).catch((error: Error) => {
      events.emit(RecordEvent.snapshotRefused, { reason: error.message })
    })
  })
}
