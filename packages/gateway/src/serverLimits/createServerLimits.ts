import { firstSlotMs, moveSlot, slotGapMs, slotWaitMs, takeSlot } from '@figmount/decisions'
import { startKeyOf } from '@figmount/fleet'

import { GatewayEvent } from '../events.js'
import { isAhead } from '../requests/isAhead.js'
import { MAX_LIMITED, NOTICE_PERIOD_MS, OVER_RETENTION_MS, UNSEEN_RETENTION_MS } from './constants.js'
import { createServerRests } from './createServerRests.js'

import type { EventLog, TimerService } from '@figmount/base'
import type { ServerPace } from '@figmount/decisions'
import type { ServerAnswer, ServerLimitNotice, ServerStart } from '@figmount/fleet'
import type { Waiter } from '../requests/isAhead.js'

interface Options {
  readonly timers: TimerService
  readonly events: EventLog
  /** Number of routers that share each limit. */
  readonly routerCount: () => number
  /** Tells the other routers of a limit that has changed. */
  readonly send: (notice: ServerLimitNotice) => void
  readonly random: () => number
}

/** One request's turn among those that wait for limited servers. */
export interface Turn {
  /** Time until the request may be sent to the server, behind the more urgent and earlier ones that wait for it; 0 at once. */
  readonly waitMs: (start: ServerStart) => number
  /** The request waits for these servers, and for no others; returns true if it did not wait before. */
  readonly waitFor: (starts: readonly ServerStart[]) => boolean
  /** The request is sent to the server, and no longer waits. */
  readonly take: (start: ServerStart) => void
  /** The request no longer waits. */
  readonly end: () => void
}

/** Limits that servers name in their answers, on requests from all routers together, and rests that they ask this router for. */
export interface ServerLimits {
  /** Takes what an answer of the server says. */
  readonly noteAnswer: (start: ServerStart, answer: ServerAnswer, status: number) => void
  /** Takes what another router has learned. */
  readonly takeNotice: (notice: ServerLimitNotice) => void
  /** The server takes fewer requests than there may be, or none for a while. */
  readonly isLimited: (start: ServerStart) => boolean
  /** The server wants no requests from this router now. */
  readonly isResting: (start: ServerStart) => boolean
  /** `priority`: 0 is the most urgent. */
  readonly openTurn: (priority: number) => Turn
}

const UNAVAILABLE = 503

interface LimitedServer {
  limitPerS: number
  nextSlotMs: number
  /** Time at which an answer showed that the limit has ended; undefined while it holds. */
  overMs: number | undefined
  noticeMs: number
  /** Time at which an answer, or another router, last named it. */
  seenMs: number
}

interface ServerWaiter extends Waiter {
  startKeys: ReadonlySet<string>
}

/**
 * Creates the limits of one router. Each router uses an equal share of a limit, at times of its own, so that all stay within it without
 * asking anybody.
 */
export const createServerLimits = ({ timers, events, routerCount, send, random }: Options): ServerLimits => {
  // Ordered by the time at which the limit was first named.
  const servers = new Map<string, LimitedServer>()
  const waiters = new Set<ServerWaiter>()
  const rests = createServerRests(timers, events)
  let waiterCount = 0

  const paceOf = ({ limitPerS }: LimitedServer): ServerPace => ({ limitPerS, routerCount: routerCount() })

  const trim = (): void => {
    const nowMs = timers.nowMs()
    for (const [startKey, { overMs, seenMs }] of servers) {
      const isOld = nowMs - seenMs > UNSEEN_RETENTION_MS || (overMs !== undefined && nowMs - overMs > OVER_RETENTION_MS)
      if (isOld || servers.size > MAX_LIMITED) servers.delete(startKey)
    }
  }

  const limitedAt = (start: ServerStart): LimitedServer | undefined => {
    if (servers.size === 0) return undefined
    const server = servers.get(startKeyOf(start))
    return server?.overMs === undefined ? server : undefined
  }

  /** Takes a limit; returns false if it is known. */
  const noteLimit = (start: ServerStart, limitPerS: number): boolean => {
    const startKey = startKeyOf(start)
    const nowMs = timers.nowMs()
    const known = servers.get(startKey)
    if (known) known.seenMs = nowMs
    if (known?.limitPerS === limitPerS && known.overMs === undefined) return false
    let reason = 'named'
    if (known) {
      reason = known.overMs === undefined ? 'changed' : 'named again'
      known.limitPerS = limitPerS
      known.overMs = undefined
      known.nextSlotMs = moveSlot(known.nextSlotMs, paceOf(known), nowMs)
    } else {
      trim()
      const pace = { limitPerS, routerCount: routerCount() }
      servers.set(startKey, { limitPerS, nextSlotMs: firstSlotMs(pace, nowMs, random()), overMs: undefined, noticeMs: -Infinity, seenMs: nowMs })
    }
    events.emit(GatewayEvent.serverLimited, { peer: start.serverId, limitPerS, reason, count: routerCount() })
    return true
  }

  /** Takes the end of a limit; returns false if none is known. */
  const noteOver = (start: ServerStart): boolean => {
    const known = limitedAt(start)
    if (!known) return false
    known.overMs = timers.nowMs()
    events.emit(GatewayEvent.serverLimited, { peer: start.serverId, limitPerS: known.limitPerS, reason: 'ended' })
    return true
  }

  /** Guards against a server that names its limit in every other answer: each change would be a message to all routers. */
  const tell = ({ serverId, startedAtUnixMs }: ServerStart, limitPerS: number | undefined): void => {
    const known = servers.get(startKeyOf({ serverId, startedAtUnixMs }))
    if (!known || timers.nowMs() - known.noticeMs < NOTICE_PERIOD_MS) return
    known.noticeMs = timers.nowMs()
    send({ type: 'serverLimit', start: { serverId, startedAtUnixMs }, limitPerS })
  }

  const countAhead = (startKey: string, own: ServerWaiter): number => {
    let count = 0
    for (const other of waiters) count += Number(other.startKeys.has(startKey) && isAhead(other, own))
    return count
  }

  const waitMs = (start: ServerStart, own: ServerWaiter): number => {
    const restMs = rests.leftMs(start)
    const server = limitedAt(start)
    if (!server) return restMs
    const pace = paceOf(server)
    return Math.max(restMs, slotWaitMs(server.nextSlotMs, pace, timers.nowMs()) + countAhead(startKeyOf(start), own) * slotGapMs(pace))
  }

  const noteRest = (start: ServerStart, restMs: number, status: number): void => {
    if (status === UNAVAILABLE && restMs > 0) rests.noteAsked(start, restMs)
    else rests.noteAnswered(start)
  }

  return {
    noteAnswer: (start, { limit, isNotRun, restMs }, status) => {
      noteRest(start, restMs, status)
      if (limit.type === 'named' && noteLimit(start, limit.requestsPerS)) return tell(start, limit.requestsPerS)
      // A request that is turned away may be so before the server looks at its limit.
      if (limit.type === 'none' && !isNotRun && noteOver(start)) tell(start, undefined)
    },
    takeNotice: ({ start, limitPerS }) => {
      if (limitPerS === undefined) noteOver(start)
      else noteLimit(start, limitPerS)
    },
    isLimited: start => limitedAt(start) !== undefined || rests.leftMs(start) > 0,
    isResting: start => rests.leftMs(start) > 0,
    openTurn: priority => {
      const own: ServerWaiter = { priority, number: waiterCount++, startKeys: new Set() }
      const end = (): void => { waiters.delete(own) }
      return {
        waitMs: start => waitMs(start, own),
        waitFor: starts => {
          const isFirst = !waiters.has(own)
          own.startKeys = new Set(starts.map(startKeyOf))
          waiters.add(own)
          return isFirst
        },
        take: start => {
          end()
          rests.noteSent(start)
          const server = limitedAt(start)
          if (server) server.nextSlotMs = takeSlot(server.nextSlotMs, paceOf(server), timers.nowMs())
        },
        end
      }
    }
  }
}
