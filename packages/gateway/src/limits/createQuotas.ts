import { capacityOf, chooseLimiter, emptyBucket, needAll, shareOfLimit, takeUnits } from '@figmount/decisions'

import { GatewayEvent } from '../events.js'

import type { EventLog, TimerService, Unsubscribe } from '@figmount/base'
import type { TokenBucket } from '@figmount/decisions'
import type { Organisation, Organisations, OrganisationLimit, RouterMessage, UnitsAnswered } from '@figmount/fleet'

/**
 * Time limit for the answer of a limiter, the agent that counts an organisation's requests for all routers. An answer takes a few ms: a
 * slower limiter is paused or unreachable.
 */
const ANSWER_MS = 150

/** Time for which a limiter that did not answer is not used. */
const AVOID_MS = 2_000

/** Limiters that are tried for one request. */
const MAX_LIMITER_TRIES = 2

/** Retry-after while no limiter answers: links to others are open within a second. */
const NO_LIMITER_RETRY_MS = 500

/** Time between two reviews of the reachable agents, in addition to the one with each request. */
const REVIEW_MS = 250

/** Whether a request is admitted. */
export type Admission =
  | { readonly isAdmitted: true }
  | {
    readonly isAdmitted: false
    /** False if the request was refused only because no limiter answers. */
    readonly isOverLimit: boolean
    readonly retryAfterMs: number
  }

interface Options {
  readonly timers: TimerService
  readonly events: EventLog
  readonly organisations: () => Organisations | undefined
  /** The highest number of routers seen recently; Infinity if it is not known. */
  readonly routerCount: () => number
  /** Engine addresses of the agents whose links are open. */
  readonly reachableAddresses: () => readonly string[]
  readonly send: (serverAddress: string, message: RouterMessage) => void
}

/** Counts requests against their organisations' limits, which all routers share. A limit is a rate of units: requests or tokens. */
export interface Quotas {
  /** Takes units for a request, waiting up to `maxWaitMs` for them. */
  readonly admit: (organisation: Organisation, units: number, maxWaitMs: number) => Promise<Admission>
  /** Returns the units of a request that has not run. */
  readonly refund: (organisation: Organisation, units: number) => void
  /** Charges a request that is run once more, even beyond the limit. */
  readonly charge: (organisation: Organisation, units: number) => void
  readonly takeAnswer: (serverAddress: string, answer: UnitsAnswered) => void
  /** The link to an agent was lost or reopened: the agent has to be informed again. */
  readonly noteLost: (serverAddress: string) => void
  readonly stop: Unsubscribe
}

type Settle = (answer: UnitsAnswered | undefined) => void

const ADMITTED: Admission = { isAdmitted: true }

/** Creates the quotas of one router. */
export const createQuotas = ({ timers, events, organisations, routerCount, reachableAddresses, send }: Options): Quotas => {
  const chosen = new Map<string, string>()
  const announced = new Map<string, string>()
  const avoidedUntilMs = new Map<string, number>()
  const openQueries = new Map<number, { readonly address: string, readonly settle: Settle }>()
  /** Time until which an organisation's limit is known to be exhausted. */
  const exhaustedUntilMs = new Map<string, number>()
  const localBuckets = new Map<string, TokenBucket>()
  let nextAskId = 1
  let lastReviewed = ''

  const usable = (): readonly string[] => {
    const nowMs = timers.nowMs()
    return reachableAddresses().filter(address => (avoidedUntilMs.get(address) ?? 0) <= nowMs)
  }

  const choose = (names: readonly string[], addresses: readonly string[]): void => {
    chosen.clear()
    for (const name of names) {
      const address = chooseLimiter(name, addresses)
      if (address !== undefined) chosen.set(name, address)
    }
    if (addresses.length > 0) localBuckets.clear()
  }

  /** Informs each agent which organisations it counts for this router, unless it has this information already. */
  const announceChosen = (): void => {
    for (const address of reachableAddresses()) {
      const names = [...chosen].filter(([, limiter]) => limiter === address).map(([name]) => name)
      const text = `${routerCount()} ${names.join()}`
      if (announced.get(address) === text || (names.length === 0 && !announced.has(address))) continue
      announced.set(address, text)
      send(address, { type: 'limiterChosen', organisations: names, routerCount: routerCount() })
    }
  }

  /** Chooses the limiters again if any input of the choice has changed. */
  const review = (): void => {
    const limited = organisations()?.all.filter(({ limit }) => limit !== undefined).map(({ name }) => name) ?? []
    if (limited.length === 0 && chosen.size === 0) return
    const addresses = usable()
    const inputs = (): string => `${routerCount()} ${announced.size} ${addresses.join()} ${limited.join()}`
    if (inputs() === lastReviewed) return
    choose(limited, addresses)
    announceChosen()
    lastReviewed = inputs()
  }

  const avoid = (address: string, name: string): void => {
    avoidedUntilMs.set(address, timers.nowMs() + AVOID_MS)
    events.emit(GatewayEvent.limiterAvoided, { peer: address, organisation: name, waitMs: ANSWER_MS })
    review()
  }

  const ask = async (address: string, organisation: string, units: number, maxWaitMs: number): Promise<UnitsAnswered | undefined> =>
    await new Promise(resolve => {
      const askId = nextAskId++
      const settle: Settle = answer => {
        stopTimer()
        openQueries.delete(askId)
        resolve(answer)
      }
      const stopTimer = timers.after(ANSWER_MS, () => { settle(undefined) })
      openQueries.set(askId, { address, settle })
      send(address, { type: 'unitsAsked', askId, organisation, units, maxWaitMs })
    })

  /**
   * Admits a request without a limiter. Each router has an equal share of the limit, in a bucket that starts empty.
   *
   * Guards against routers that together exceed the limit while none of them reaches a limiter.
   */
  const admitLocally = (name: string, limit: OrganisationLimit, units: number): Admission => {
    const part = shareOfLimit(limit, 1 / Math.max(1, routerCount()))
    const nowMs = timers.nowMs()
    if (units > capacityOf(part)) return { isAdmitted: false, isOverLimit: false, retryAfterMs: NO_LIMITER_RETRY_MS }
    const taking = takeUnits(localBuckets.get(name) ?? emptyBucket(nowMs), part, { units, maxWaitMs: 0 }, needAll, nowMs)
    localBuckets.set(name, taking.bucket)
    return taking.isTaken ? ADMITTED : { isAdmitted: false, isOverLimit: false, retryAfterMs: taking.retryAfterMs }
  }

  /** Refuses every request until the time at which the last refused one would fit. */
  const knownRefusal = (name: string): Admission | undefined => {
    const leftMs = (exhaustedUntilMs.get(name) ?? -Infinity) - timers.nowMs()
    return leftMs > 0 ? { isAdmitted: false, isOverLimit: true, retryAfterMs: leftMs } : undefined
  }

  const admit = async (organisation: Organisation, units: number, maxWaitMs: number): Promise<Admission> => {
    const { name, limit } = organisation
    if (!limit) return ADMITTED
    const refused = knownRefusal(name)
    if (refused) return refused
    for (let tries = 0; tries < MAX_LIMITER_TRIES; tries++) {
      review()
      const address = chosen.get(name)
      if (address === undefined) return admitLocally(name, limit, units)
      const answer = await ask(address, name, units, maxWaitMs)
      if (answer?.outcome === 'taken') {
        if (answer.waitMs > 0) await new Promise<void>(resolve => { timers.after(answer.waitMs, resolve) })
        return ADMITTED
      }
      if (answer?.outcome === 'refused') {
        exhaustedUntilMs.set(name, timers.nowMs() + answer.waitMs)
        return { isAdmitted: false, isOverLimit: true, retryAfterMs: answer.waitMs }
      }
      // The limiter is paused, or does not have the organisation's limit.
      avoid(address, name)
    }
    return { isAdmitted: false, isOverLimit: false, retryAfterMs: NO_LIMITER_RETRY_MS }
  }

  const sendReturned = (name: string, units: number): void => {
    const address = chosen.get(name)
    if (address !== undefined) send(address, { type: 'unitsReturned', organisation: name, units })
  }

  const stopReviewing = timers.every(REVIEW_MS, review)

  return {
    admit,
    refund: ({ name, limit }, units) => {
      if (!limit) return
      exhaustedUntilMs.delete(name)
      sendReturned(name, units)
    },
    charge: ({ name, limit }, units) => { if (limit) sendReturned(name, -units) },
    takeAnswer: (serverAddress, answer) => {
      const open = openQueries.get(answer.askId)
      if (open?.address === serverAddress) open.settle(answer)
    },
    noteLost: serverAddress => {
      announced.delete(serverAddress)
      for (const { address, settle } of [...openQueries.values()]) {
        if (address === serverAddress) settle(undefined)
      }
    },
    stop: stopReviewing
  }
}
