import { capacityOf, chooseLimiter, emptyBucket, needAll, shareOfLimit, takeUnits } from '@figmount/decisions'

import { GatewayEvent } from '../events.js'

import type { EventLog, TimerService, Unsubscribe } from '@figmount/base'
import type { TokenBucket } from '@figmount/decisions'
import type { Organisation, Organisations, OrganisationLimit, RouterMessage, UnitsAnswered } from '@figmount/fleet'

/** A limiter answers within a few ms; one that takes longer stands still or is cut off. */
const ANSWER_MS = 150

/** Time for which a limiter that did not answer is passed over. */
const AVOID_MS = 2_000

/** Limiters that are asked for one request. */
const MAX_LIMITER_TRIES = 2

/** Come-back time when no limiter answers: links to others are open within a second. */
const NO_LIMITER_RETRY_MS = 500

/** Time between two looks at which agents are reached, beside those with each request. */
const REVIEW_MS = 250

/** Whether a request may go on. */
export type Admission =
  | { readonly isAdmitted: true }
  | {
    readonly isAdmitted: false
    /** False when nobody could tell, as no limiter answers. */
    readonly isOverLimit: boolean
    readonly retryAfterMs: number
  }

interface Options {
  readonly timers: TimerService
  readonly events: EventLog
  readonly organisations: () => Organisations | undefined
  /** The most routers seen so far. */
  readonly routerCount: () => number
  /** Engine addresses of the agents whose links are open. */
  readonly reachableAddresses: () => readonly string[]
  readonly send: (serverAddress: string, message: RouterMessage) => void
}

/** Counts requests against their organisations' limits, which all routers share. */
export interface Quotas {
  /** Takes units for a request; may wait up to `maxWaitMs` for them. */
  readonly admit: (organisation: Organisation, units: number, maxWaitMs: number) => Promise<Admission>
  /** Gives units back of a request that has not run. */
  readonly refund: (organisation: Organisation, units: number) => void
  /** Counts a request that runs once more; it goes on whatever is left. */
  readonly charge: (organisation: Organisation, units: number) => void
  readonly takeAnswer: (serverAddress: string, answer: UnitsAnswered) => void
  /** The link to an agent was lost, or is new: what it was told counts no more. */
  readonly noteLost: (serverAddress: string) => void
  readonly stop: Unsubscribe
}

type Settle = (answer: UnitsAnswered | undefined) => void

const ADMITTED: Admission = { isAdmitted: true }

/** Makes the quotas of one router. */
export const createQuotas = ({ timers, events, organisations, routerCount, reachableAddresses, send }: Options): Quotas => {
  const chosen = new Map<string, string>()
  const announced = new Map<string, string>()
  const avoidedUntilMs = new Map<string, number>()
  const openQueries = new Map<number, { readonly address: string, readonly settle: Settle }>()
  /** Time until which an organisation's limit is known to be used up. */
  const usedUpUntilMs = new Map<string, number>()
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

  /** Tells agents which organisations they count for this router, where they have not been told so. */
  const announceChosen = (): void => {
    for (const address of reachableAddresses()) {
      const names = [...chosen].filter(([, limiter]) => limiter === address).map(([name]) => name)
      const text = `${routerCount()} ${names.join()}`
      if (announced.get(address) === text || (names.length === 0 && !announced.has(address))) continue
      announced.set(address, text)
      send(address, { type: 'limiterChosen', organisations: names, routerCount: routerCount() })
    }
  }

  /** Names the limiters anew where something that they depend on has changed. */
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
   * Guards against routers that together let more than the limit through while none of them reaches a limiter: each has an equal part,
   * which begins empty.
   */
  const admitLocally = (name: string, limit: OrganisationLimit, units: number): Admission => {
    const part = shareOfLimit(limit, 1 / Math.max(1, routerCount()))
    const nowMs = timers.nowMs()
    if (units > capacityOf(part)) return { isAdmitted: false, isOverLimit: false, retryAfterMs: NO_LIMITER_RETRY_MS }
    const taking = takeUnits(localBuckets.get(name) ?? emptyBucket(nowMs), part, { units, maxWaitMs: 0 }, needAll, nowMs)
    localBuckets.set(name, taking.bucket)
    return taking.isTaken ? ADMITTED : { isAdmitted: false, isOverLimit: false, retryAfterMs: taking.retryAfterMs }
  }

  /** Until the request that was refused last fits, no other one does. */
  const knownRefusal = (name: string): Admission | undefined => {
    const leftMs = (usedUpUntilMs.get(name) ?? -Infinity) - timers.nowMs()
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
        usedUpUntilMs.set(name, timers.nowMs() + answer.waitMs)
        return { isAdmitted: false, isOverLimit: true, retryAfterMs: answer.waitMs }
      }
      // It stands still, or does not know the organisation's limit.
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
      usedUpUntilMs.delete(name)
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
