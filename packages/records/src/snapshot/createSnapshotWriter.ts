import { SNAPSHOT_CHECK_PERIOD_MS, SNAPSHOT_PERIOD_MS, MAX_RECORDS_BETWEEN_SNAPSHOTS } from './constants.js'
import { splitSnapshot } from './splitSnapshot.js'
import { RecordEvent } from '../log/events.js'

import type { EventLog, LogOffset, TimerService, Unsubscribe } from '@figmount/base'
import type { SnapshotTrackingClient, LogSnapshot } from '../log/types.js'

interface Options {
  readonly client: SnapshotTrackingClient
  readonly timers: TimerService
  readonly events: EventLog
  /** Whether this process should write, by rendezvous hashing over the live routers. Two writers at once are harmless. */
  readonly isMyTurn: () => boolean
  /** Time between snapshots; at most a quarter of the log's retention. */
  readonly periodMs?: number
}

/** Inputs of the decision whether a snapshot is due. */
export interface SnapshotCheck {
  readonly nextOffset: LogOffset
  /** Log time, or a Unix clock close to it. */
  readonly nowMs: number
  readonly periodMs: number
}

/**
 * Whether a snapshot is due. One is appended periodically even if nothing has changed: a snapshot's own
 * records expire like all others, and a process started after that would find no state.
 */
export const isSnapshotDue = (last: LogSnapshot | undefined, need: SnapshotCheck): boolean => {
  if (need.nextOffset === 0) return false
  if (!last) return true
  if (need.nextOffset - last.baseOffset >= MAX_RECORDS_BETWEEN_SNAPSHOTS) return true
  return need.nowMs - last.completedAtMs >= need.periodMs
}

/** Appends a snapshot whenever one is due and it is this process's turn. Returns a function that stops it. */
export const createSnapshotWriter = ({ client, timers, events, isMyTurn, periodMs = SNAPSHOT_PERIOD_MS }: Options): Unsubscribe => {
  let isWriting = false

  const write = async (): Promise<void> => {
    const state = client.state()
    const chunks = splitSnapshot(state, `${state.nextOffset}.${timers.unixMs()}.${events.tick()}`)
    const results = await Promise.all(chunks.map(async chunk => await client.append(chunk).run()))
    if (results.some(result => result.isLeft())) return
    events.emit(RecordEvent.snapshotAppended, { offset: state.nextOffset, count: chunks.length })
  }

  return timers.every(SNAPSHOT_CHECK_PERIOD_MS, () => {
    // Writes only at the head of the log: a snapshot of an outdated state could be older than the last one.
    const isFresh = timers.nowMs() - client.confirmedAtMs() < SNAPSHOT_CHECK_PERIOD_MS
    if (isWriting || !isFresh || !isMyTurn()) return
    const { nextOffset } = client.state()
    if (!isSnapshotDue(client.lastSnapshot(), { nextOffset, nowMs: timers.unixMs(), periodMs })) return
    isWriting = true
    write().finally(() => { isWriting = false }).catch((error: Error) => {
      events.emit(RecordEvent.snapshotRefused, { reason: error.message })
    })
  })
}
