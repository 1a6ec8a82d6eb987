import { capacityOf, emptyBucket, needNoDebt, refill, resizeBucket, shareOfLimit, takeUnits } from '@figmount/decisions'

import type { TimerService } from '@figmount/base'
import type { RateLimit, TokenBucket } from '@figmount/decisions'
import type { LimiterChosen, UnitsAnswered, UnitsAsked, UnitsReturned } from '@figmount/fleet'

/** After the first start of the whole system routers bring a full part for this long; later an unknown part has been taken already. */
const FIRST_FULL_MS = 4_000

interface Limiter {
  /** Routers whose requests it counts. */
  readonly routers: ReadonlySet<string>
  readonly bucket: TokenBucket
}

interface Options {
  readonly timers: TimerService
  /** The limit in force; undefined for an organisation that has none or is not known here. */
  readonly limitOf: (organisationName: string) => RateLimit | undefined
  /** The whole system starts for the first time. */
  readonly isFirstStart: boolean
}

/** The buckets that an agent keeps for organisations, for the routers that chose it. */
export interface Limiters {
  /** Takes in which organisations a router counts here from now on. */
  readonly choose: (router: string, chosen: Pick<LimiterChosen, 'organisations' | 'routerCount'>) => void
  readonly dropRouter: (router: string) => void
  readonly ask: (router: string, asked: UnitsAsked) => UnitsAnswered
  readonly giveBack: (router: string, returned: UnitsReturned) => void
}

/**
 * Makes the limiters of one agent.
 *
 * A bucket has the part of the limit that its routers are of all routers. One that moves takes its part along, so that limiters which
 * die, are cut off or come back never let more through together than the limit.
 */
export const createLimiters = ({ timers, limitOf, isFirstStart }: Options): Limiters => {
  const startedMs = timers.nowMs()
  const limiters = new Map<string, Limiter>()
  const toldCounts = new Map<string, number>()

  const shareOf = (count: number): number => count / Math.max(count, ...toldCounts.values())

  const limitFor = (name: string, { routers }: Limiter): RateLimit | undefined => {
    const limit = limitOf(name)
    return limit && shareOfLimit(limit, shareOf(routers.size))
  }

  const refilled = (name: string, limiter: Limiter): TokenBucket => {
    const limit = limitFor(name, limiter)
    return limit ? refill(limiter.bucket, limit, timers.nowMs()) : emptyBucket(timers.nowMs())
  }

  const join = (name: string, router: string): void => {
    const known = limiters.get(name) ?? { routers: new Set<string>(), bucket: emptyBucket(timers.nowMs()) }
    if (known.routers.has(router)) return
    const bucket = refilled(name, known)
    const next = { routers: new Set([...known.routers, router]), bucket }
    const limit = limitFor(name, next)
    const isFull = isFirstStart && timers.nowMs() - startedMs < FIRST_FULL_MS
    const part = limit && isFull ? capacityOf(shareOfLimit(limit, 1 / next.routers.size)) : 0
    limiters.set(name, { ...next, bucket: { ...bucket, levelUnits: bucket.levelUnits + part } })
  }

  const leave = (name: string, router: string): void => {
    const known = limiters.get(name)
    if (!known?.routers.has(router)) return
    const bucket = refilled(name, known)
    const routers = new Set(known.routers)
    routers.delete(router)
    if (routers.size === 0) limiters.delete(name)
    else limiters.set(name, { routers, bucket: resizeBucket(bucket, shareOf(known.routers.size), shareOf(routers.size)) })
  }

  return {
    choose: (router, { organisations, routerCount: told }) => {
      toldCounts.set(router, told)
      const chosen = new Set(organisations)
      for (const name of [...limiters.keys()]) {
        if (!chosen.has(name)) leave(name, router)
      }
      for (const name of chosen) join(name, router)
    },
    dropRouter: router => {
      for (const name of [...limiters.keys()]) leave(name, router)
      toldCounts.delete(router)
    },
    ask: (router, { askId, organisation, units, maxWaitMs }) => {
      const limiter = limiters.get(organisation)
      const limit = limiter && limitFor(organisation, limiter)
      // The router has chosen another limiter meanwhile, or knows another configuration.
      if (!limiter?.routers.has(router) || !limit) return { type: 'unitsAnswered', askId, outcome: 'unknown', waitMs: 0 }
      const taking = takeUnits(limiter.bucket, limit, { units, maxWaitMs }, needNoDebt, timers.nowMs())
      limiters.set(organisation, { ...limiter, bucket: taking.bucket })
      return taking.isTaken
        ? { type: 'unitsAnswered', askId, outcome: 'taken', waitMs: taking.waitMs }
        : { type: 'unitsAnswered', askId, outcome: 'refused', waitMs: taking.retryAfterMs }
    },
    giveBack: (router, { organisation, units }) => {
      const limiter = limiters.get(organisation)
      if (!limiter?.routers.has(router)) return
      limiters.set(organisation, { ...limiter, bucket: { ...limiter.bucket, levelUnits: limiter.bucket.levelUnits + units } })
    }
  }
}
