import { BaseEvent } from '@figmount/base'

import { createAppender } from './createAppender.js'
import { createFollower } from './createFollower.js'
import { createJitter } from './createJitter.js'
import { createPeerSource } from './createPeerSource.js'
import { createRawBuffer } from './createRawBuffer.js'
import { createReader } from './createReader.js'
import { reportRecord } from './reportRecord.js'
import { RecordEvent } from './events.js'
import { openLog } from './openLog.js'

import type { EventLog, Incarnation, InstanceName, LogOffset, Metrics, TimerService } from '@figmount/base'
import type { AgreedState, LogRecord, PlacedRecord } from '../fold/types.js'
import type { PlatformLogCalls } from './openLog.js'
import type { SnapshotTrackingClient, RecordsClient, LogSnapshot } from './types.js'

type Listener = Parameters<RecordsClient['onChange']>[0]

/** Dependencies and settings of a records client. */
export interface RecordsClientOptions {
  /** host:port of the platform's log. */
  readonly address: string
  readonly instance: InstanceName
  readonly incarnation: Incarnation
  readonly timers: TimerService
  readonly events: EventLog
  readonly metrics: Metrics
  /** Long-term rate of append calls; defaults to APPENDS_PER_SECOND. */
  readonly appendsPerSecond?: number
  /** The calls to the log, replaceable in tests; by default made to `address`. */
  readonly log?: PlatformLogCalls
}

/** Starts to follow the platform's log, with unlimited retries; `isReady` tells whether there is a state yet. */
export const createRecordsClient = (options: RecordsClientOptions): SnapshotTrackingClient => {
  const { address, instance, incarnation, timers, events, metrics } = options
  const log = options.log ?? openLog(address, timers)
  const buffer = createRawBuffer()
  const listeners = new Set<Listener>()
  const jitter = createJitter(`${instance}/${incarnation}`)
  let confirmedAtMs = -Infinity
  let knownHead = 0 as LogOffset
  let isReady = false
  let idCount = 0
  let lastSnapshot: LogSnapshot | undefined

  const nextId = (): string => `${incarnation}.${idCount++}`

  const advanceKnownHead = (head: LogOffset): void => {
    if (head > knownHead) knownHead = head
  }

  const notifyListeners = (records: readonly PlacedRecord[], state: AgreedState): void => {
    for (const listen of listeners) {
      try {
        listen(records, state)
      } catch (error) {
        // A listener that throws must not stop the reading of the log.
        events.emit(BaseEvent.unexpectedFault, { step: 'records.onChange', reason: (error as Error).message })
      }
    }
  }

  const follower = createFollower({
    onFolded: (records, outcomes, raw) => {
      const readable: PlacedRecord[] = []
      for (const [index, record] of records.entries()) {
        const outcome = outcomes[index]
        const bytes = raw[index]
        if (bytes) buffer.push(bytes)
        if (outcome) reportRecord({ record, outcome, instance, events, metrics })
        if ('unreadable' in record) continue
        readable.push(record)
        if (outcome) appender.onFolded(record.record, record.offset, outcome)
      }
      notifyListeners(readable, follower.state())
    },
    onRebuilt: (state, from) => {
      if (from === 'peer') isReady = true
      events.emit(RecordEvent.stateRebuilt, { offset: state.nextOffset, detail: from })
      notifyListeners([], state)
    },
    onSnapshotRefused: reason => events.emit(RecordEvent.snapshotRefused, { reason }),
    onSnapshotSeen: (baseOffset, completedAtMs) => { lastSnapshot = { baseOffset, completedAtMs } }
  })

  const findFolded = (recordId: string): LogOffset | undefined => {
    const { recentRecordIds, nextOffset } = follower.state()
    return recentRecordIds.has(recordId) ? (nextOffset - 1) as LogOffset : undefined
  }

  const appender = createAppender({
    log,
    address,
    instance,
    findFolded,
    timers,
    events,
    metrics,
    jitter,
    ...(options.appendsPerSecond === undefined ? {} : { appendsPerSecond: options.appendsPerSecond }),
    onAppended: advanceKnownHead
  })

  const reader = createReader({
    log,
    address,
    timers,
    events,
    metrics,
    jitter,
    follower,
    knownHead: () => knownHead,
    onConfirmed: sentAtMs => {
      confirmedAtMs = sentAtMs
      isReady = true
      appender.onConfirmed(sentAtMs)
    }
  })

  metrics.gauge('records_next_offset', () => follower.state().nextOffset)
  metrics.gauge('records_confirmed_age_ms', () => timers.nowMs() - confirmedAtMs)

  return {
    state: follower.state,
    confirmedAtMs: () => confirmedAtMs,
    isReady: () => isReady,
    lastSnapshot: () => lastSnapshot,
    onChange: listen => {
      listeners.add(listen)
      return () => { listeners.delete(listen) }
    },
    append: record => appender.append({ ...record, recordId: record.recordId ?? nextId(), writer: instance, writerIncarnation: incarnation } as LogRecord),
    offer: records => {
      follower.takeFromPeer(records)
      advanceKnownHead(follower.state().nextOffset)
    },
    rawFrom: createPeerSource({ instance, timers, state: follower.state, buffer, nextId }),
    stop: () => {
      reader.stop()
      appender.stop()
      log.close()
    }
  }
}
