import { capacityOf, emptyBucket, needNoDebt, refill, resizeBucket, shareOfLimit, takeUnits } from '@figmount/decisions'

import type { TimerService } from '@figmount/base'
import type { RateLimit, TokenBucket } from '@figmount/decisions'
import type { LimiterChosen, UnitsAnswered, UnitsAsked, UnitsReturned } from '@figmount/fleet'

/**
 * Time after the first start of the whole system in which a router that joins a bucket brings its share of the limit as a full
 * bucket. Later it brings none, because an unknown part of that share may have been used at another limiter.
 */
const FULL_START_MS = 4_000

interface Limiter {
  /** Routers whose requests this limiter counts. */
  readonly routers: ReadonlySet<string>
  readonly bucket: TokenBucket
}

interface Options {
  readonly timers: TimerService
  /** The limit in force; undefined for an organisation without one or one that the agent's configuration does not contain. */
  readonly limitOf: (organisationName: string) => RateLimit | undefined
  /** True when the whole system starts for the first time, false after a restart of this agent. */
  readonly isFirstStart: boolean
}

/** Token buckets of organisations, for the routers that chose this agent as their limiter. */
export interface Limiters {
  /** Replaces the set of organisations whose requests a router counts here. */
  readonly choose: (router: string, chosen: Pick<LimiterChosen, 'organisations' | 'routerCount'>) => void
  readonly dropRouter: (router: string) => void
  readonly ask: (router: string, asked: UnitsAsked) => UnitsAnswered
  readonly returnUnits: (router: string, returned: UnitsReturned) => void
}

/**
 * Creates the limiters of one agent.
 *
 * A bucket has a share of the limit: the fraction of all routers that use it. A router that moves to another limiter takes its
 * share along, so limiters that crash, are partitioned or come back never admit more than the limit together.
 */
export const createLimiters = ({ timers, limitOf, isFirstStart }: Options): Limiters => {
  const startedMs = timers.nowMs()
  const limiters = new Map<string, Limiter>()
  const reportedCounts = new Map<string, number>()

  const shareOf = (count: number): number => count / Math.max(count, ...reportedCounts.values())

  const limitFor = (name: string, { routers }: Limiter): RateLimit | undefined => {
    const limit = limitOf(name)
    return limit && shareOfLimit(limit, shareOf(routers.size))
  }

  const refilled = (name: string, limiter: Limiter): TokenBucket => {
    const limit = limitFor(name, limiter)
    return limit ? refill(limiter.bucket, limit, timers.nowMs()) : emptyBucket(timers.nowMs())
  }

  const addRouter = (name: string, router: string): void => {
    const known = limiters.get(name) ?? { routers: new Set<string>(), bucket: emptyBucket(timers.nowMs()) }
    if (known.routers.has(router)) return
    const bucket = refilled(name, known)
    const next = { routers: new Set([...known.routers, router]), bucket }
    const limit = limitFor(name, next)
    const isFull = isFirstStart && timers.nowMs() - startedMs < FULL_START_MS
    const addedUnits = limit && isFull ? capacityOf(shareOfLimit(limit, 1 / next.routers.size)) : 0
    limiters.set(name, { ...next, bucket: { ...bucket, levelUnits: bucket.levelUnits + addedUnits } })
  }

  const removeRouter = (name: string, router: string): void => {
    const known = limiters.get(name)
    if (!known?.routers.has(router)) return
    const bucket = refilled(name, known)
    const routers = new Set(known.routers)
    routers.delete(router)
    if (routers.size === 0) limiters.delete(name)
    else limiters.set(name, { routers, bucket: resizeBucket(bucket, shareOf(known.routers.size), shareOf(routers.size)) })
  }

  return {
    choose: (router, { organisations, routerCount: reportedCount }) => {
      reportedCounts.set(router, reportedCount)
      const chosen = new Set(organisations)
      for (const name of [...limiters.keys()]) {
        if (!chosen.has(name)) removeRouter(name, router)
      }
      for (const name of chosen) addRouter(name, router)
    },
    dropRouter: router => {
      for (const name of [...limiters.keys()]) removeRouter(name, router)
      reportedCounts.delete(router)
    },
    ask: (router, { askId, organisation, units, maxWaitMs }) => {
      const limiter = limiters.get(organisation)
      const limit = limiter && limitFor(organisation, limiter)
      // The router has meanwhile chosen another limiter, or has another version of the configuration.
      if (!limiter?.routers.has(router) || !limit) return { type: 'unitsAnswered', askId, outcome: 'unknown', waitMs: 0 }
      const taking = takeUnits(limiter.bucket, limit, { units, maxWaitMs }, needNoDebt, timers.nowMs())
      limiters.set(organisation, { ...limiter, bucket: taking.bucket })
      return taking.isTaken
        ? { type: 'unitsAnswered', askId, outcome: 'taken', waitMs: taking.waitMs }
        : { type: 'unitsAnswered', askId, outcome: 'refused', waitMs: taking.retryAfterMs }
    },
    returnUnits: (router, { organisation, units }) => {
      const limiter = limiters.get(organisation)
      if (!limiter?.routers.has(router)) return
      limiters.set(organisation, { ...limiter, bucket: { ...limiter.bucket, levelUnits: limiter.bucket.levelUnits + units } })
    }
  }
}
