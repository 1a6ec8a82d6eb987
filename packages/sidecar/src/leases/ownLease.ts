import { LIFETIME_RATIO, RENEWAL_LEFT_MS, RENEWAL_LEFT_SHARE, RENEWAL_SHARE, UNUSED_MS, UNWANTED_MS } from './constants.js'

import type { ColdWant } from '@figmount/decisions'
import type { LeaseNeeds } from './types.js'

/** A lease that this agent has or is about to take. A plain value. */
export interface OwnLease {
  readonly key: string
  /** Where it was to be appended: nobody had taken a lease after those that this agent had read. */
  readonly atOffset: number
  readonly modelName: string
  readonly waitingCount: number
  readonly coldLoadMs: number
  /** Loads from the weight store when it was taken, including its own. */
  readonly concurrentCount: number
  readonly takenMs: number
  /** It expires this long after it was taken; a renewal makes it longer. */
  readonly lifetimeMs: number
  readonly lastWantedMs: number
  /** When the engine was first seen to carry out the load; undefined until then. */
  readonly begunMs: number | undefined
  /** The load was seen to be slowed down by others. */
  readonly isSlowed: boolean
}

/** What becomes of a lease. */
export type LeaseReview =
  | { readonly type: 'keep', readonly lease: OwnLease }
  /** The load has ended. */
  | { readonly type: 'loaded' }
  /** The engine lost the load. */
  | { readonly type: 'lost' }
  /** The load was not begun and nobody wants the model any more. */
  | { readonly type: 'unwanted' }
  /** The load was not begun in time: the engine could not make room. */
  | { readonly type: 'unused' }

/** A lease for a load beside `concurrentCount - 1` others at a store that carries `fullSpeedCount`. */
export const makeOwnLease = (key: string, atOffset: number, want: ColdWant, concurrentCount: number, fullSpeedCount: number, nowMs: number): OwnLease => ({
  ...want,
  key,
  atOffset,
  concurrentCount,
  lifetimeMs: want.coldLoadMs * Math.max(1, concurrentCount / fullSpeedCount) * LIFETIME_RATIO,
  takenMs: nowMs,
  lastWantedMs: nowMs,
  begunMs: undefined,
  isSlowed: false
})

/** The lease for longer, if its load goes on and it would expire soon; undefined otherwise. */
export const renewedLease = (lease: OwnLease, nowMs: number): OwnLease | undefined => {
  const leftMs = lease.takenMs + lease.lifetimeMs - nowMs
  const dueLeftMs = Math.min(RENEWAL_LEFT_MS, lease.coldLoadMs * RENEWAL_LEFT_SHARE)
  const isDue = lease.begunMs !== undefined && leftMs < dueLeftMs
  return isDue ? { ...lease, lifetimeMs: lease.lifetimeMs + lease.coldLoadMs * RENEWAL_SHARE } : undefined
}

/** Whether the lease allows its load to begin. */
export const mayBegin = (lease: OwnLease, nowMs: number): boolean =>
  lease.begunMs === undefined && nowMs - lease.takenMs < lease.lifetimeMs

// Streams of a model that is to be unloaded take seconds to end. Other agents wait meanwhile, so it ends with the lease's lifetime.
const unusedLimitMs = (lease: OwnLease, { isMakingRoom }: LeaseNeeds): number => isMakingRoom ? lease.lifetimeMs : UNUSED_MS

const reviewUnused = (lease: OwnLease, needs: LeaseNeeds, nowMs: number): LeaseReview => {
  const isWanted = needs.wants.some(want => want.modelName === lease.modelName)
  const lastWantedMs = isWanted ? nowMs : lease.lastWantedMs
  if (nowMs - lastWantedMs > UNWANTED_MS) return { type: 'unwanted' }
  if (nowMs - lease.takenMs > unusedLimitMs(lease, needs)) return { type: 'unused' }
  return { type: 'keep', lease: { ...lease, lastWantedMs } }
}

/** Decides what becomes of a lease. */
export const reviewLease = (lease: OwnLease, needs: LeaseNeeds, nowMs: number): LeaseReview => {
  if (needs.loadingModel === lease.modelName) return { type: 'keep', lease: { ...lease, begunMs: lease.begunMs ?? nowMs } }
  if (lease.begunMs === undefined) return reviewUnused(lease, needs, nowMs)
  return { type: needs.isHeld(lease.modelName) ? 'loaded' : 'lost' }
}
