import { chooseShed } from './chooseShed.js'
import { DEFAULT_LIMITS, DEFAULT_TIMES, LISTENER_SHARE, REVIEW_PERIOD_MS, SHED_TO_SHARE, UNREAD_MS } from './constants.js'
import { createCloseNotes } from './createCloseNotes.js'
import { createRoomQueue } from './createRoomQueue.js'
import { allowedFor, planArrival } from './planArrival.js'

import type { Socket } from 'node:net'
import type { EventLog } from '../events/types.js'
import type { Metrics } from '../metrics/types.js'
import type { TimerService } from '../timers/types.js'
import type { HeldView } from './chooseShed.js'
import type { CloseReason } from './createCloseNotes.js'
import type { ConnectionLimits, ConnectionPlace, ConnectionRoom, ConnectionStage, ListenerTimes } from './types.js'

interface Listener {
  times: ListenerTimes
  openCount: number
}

interface Connection {
  readonly socket: Socket
  readonly listener: Listener
  readonly isUnread: () => boolean
  stage: ConnectionStage
  heldBytes: number
  aheadBytes: number
  movedMs: number
  /** When the part of a request began that has come; undefined if nothing has come of it. */
  begunMs: number | undefined
  isClosing: boolean
}

interface Options {
  readonly timers: TimerService
  readonly events: EventLog
  readonly metrics: Metrics
  readonly limits?: ConnectionLimits
}

/** The answer to a head that does not end in time: the request has not come whole, so it has not run. */
const TIMEOUT_ANSWER = 'HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n'

/**
 * Creates the room for the connections of one process.
 *
 * Guards against callers that send without reading, or connect without sending: what each of them holds is bounded, and together they leave
 * memory and descriptors for ordinary callers, the store, servers and links.
 */
export const createConnectionRoom = ({ timers, events, metrics, limits = DEFAULT_LIMITS }: Options): ConnectionRoom => {
  const listeners: Listener[] = []
  const open = new Set<Connection>()
  const incomplete = new Set<Connection>()
  /** Connections by what they do; the one that has rested longest is the first. */
  const byStage: Readonly<Record<ConnectionStage, Set<Connection>>> = { receiving: incomplete, uploading: incomplete, idle: new Set(), serving: new Set(), linked: new Set() }
  const closeNotes = createCloseNotes({ events, metrics })
  let heldBytes = 0
  /** The part of it that is given back as soon as connections have closed. */
  let closingBytes = 0
  const isFull = (): boolean => heldBytes > limits.heldBytes
  const queue = createRoomQueue(() => !isFull())

  /** Takes a connection out of the counts and the queue: its descriptor is free as soon as it is destroyed. */
  const take = (connection: Connection): boolean => {
    if (!open.delete(connection)) return false
    byStage[connection.stage].delete(connection)
    queue.leave(connection)
    connection.listener.openCount -= 1
    return true
  }

  const close = (connection: Connection, reason: CloseReason): void => {
    if (!take(connection)) return
    connection.isClosing = true
    closingBytes += connection.heldBytes
    closeNotes.note(reason)
    connection.socket.destroy()
  }

  const noteGone = (connection: Connection): void => {
    take(connection)
    if (connection.isClosing) closingBytes -= connection.heldBytes
    heldBytes -= connection.heldBytes
    connection.heldBytes = 0
    queue.proceedSoon()
  }

  const viewOf = (connection: Connection): HeldView & { readonly connection: Connection } => ({
    connection,
    heldBytes: connection.heldBytes,
    aheadBytes: connection.aheadBytes,
    isReceiving: incomplete.has(connection),
    stillMs: timers.nowMs() - connection.movedMs
  })

  const shed = (): void => {
    const excessBytes = heldBytes - closingBytes - limits.heldBytes * SHED_TO_SHARE
    const views = [...open].filter(({ stage }) => stage !== 'linked').map(viewOf)
    for (const { connection } of chooseShed(views, excessBytes)) close(connection, 'shed')
  }

  const findUnread = (): Connection | undefined => {
    for (const connection of byStage.serving) {
      if (timers.nowMs() - connection.movedMs < UNREAD_MS) return undefined
      if (connection.isUnread()) return connection
    }
    return undefined
  }

  /** Makes place for a new connection of a listener; false if there is none. */
  const makePlace = (listener: Listener): boolean => {
    const others = listeners.filter(other => other !== listener).map(({ openCount }) => openCount)
    const allowedCount = allowedFor(limits.connectionCount, others, LISTENER_SHARE)
    if (open.size < allowedCount) return true
    const [receiving] = incomplete
    const [idle] = byStage.idle
    const unread = receiving ?? idle ? undefined : findUnread()
    const plan = planArrival({ openCount: open.size, allowedCount, hasReceiving: receiving !== undefined, hasIdle: idle !== undefined, hasUnread: unread !== undefined })
    const replaced = { take: undefined, refuse: undefined, replaceReceiving: receiving, replaceIdle: idle, replaceUnread: unread }[plan]
    if (replaced) close(replaced, 'replaced')
    return plan !== 'refuse'
  }

  const move = (connection: Connection, stage: ConnectionStage): void => {
    if (!open.has(connection)) return
    const nowMs = timers.nowMs()
    byStage[connection.stage].delete(connection)
    byStage[stage].add(connection)
    if (stage === 'receiving') connection.begunMs ??= nowMs
    else connection.begunMs = undefined
    connection.stage = stage
    connection.movedMs = nowMs
  }

  /** A body's time is its request's. */
  const isLate = ({ stage, begunMs, movedMs, listener: { times } }: Connection, nowMs: number): boolean =>
    stage === 'receiving' && (begunMs === undefined ? nowMs - movedMs > times.idleMs : nowMs - begunMs > times.headMs)

  const review = (): void => {
    const nowMs = timers.nowMs()
    for (const connection of incomplete) {
      if (!isLate(connection, nowMs)) continue
      if (connection.begunMs !== undefined) connection.socket.write(TIMEOUT_ANSWER)
      close(connection, 'late')
    }
    closeNotes.log(open.size, limits.connectionCount)
  }

  const hold = (connection: Connection, changeBytes: number, changeAheadBytes: number): void => {
    connection.heldBytes += changeBytes
    connection.aheadBytes += changeAheadBytes
    heldBytes += changeBytes
    if (connection.isClosing) closingBytes += changeBytes
    if (changeBytes > 0 && heldBytes - closingBytes > limits.heldBytes) shed()
    else if (changeBytes < 0) queue.proceedSoon()
  }

  const placeOf = (connection: Connection): ConnectionPlace => ({
    hold: (changeBytes, changeAheadBytes) => { hold(connection, changeBytes, changeAheadBytes) },
    move: stage => { move(connection, stage) },
    isFull,
    onceRoom: proceed => { queue.wait(connection, proceed) }
  })

  timers.every(REVIEW_PERIOD_MS, review)
  metrics.gauge('connections_open', () => open.size)
  metrics.gauge('connections_held_bytes', () => heldBytes)

  return {
    limits,
    addListener: () => {
      const listener: Listener = { times: DEFAULT_TIMES, openCount: 0 }
      listeners.push(listener)
      return {
        limit: times => { listener.times = times },
        enter: (socket, isUnread) => {
          if (!makePlace(listener)) {
            closeNotes.note('refused')
            socket.destroy()
            return undefined
          }
          const connection: Connection = { socket, listener, isUnread, stage: 'receiving', heldBytes: 0, aheadBytes: 0, movedMs: timers.nowMs(), begunMs: undefined, isClosing: false }
          open.add(connection)
          byStage.receiving.add(connection)
          listener.openCount += 1
          socket.once('close', () => { noteGone(connection) })
          return placeOf(connection)
        }
      }
    }
  }
}
