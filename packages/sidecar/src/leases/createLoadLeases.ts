import { isSlowedLoad, judgeLease, mayTryMore } from '@figmount/decisions'
import { hash64, runInBackground, sleep } from '@figmount/base'

import { SidecarEvent } from '../events.js'
import { FALLBACK_MS, LEASE_RETRY_MS, RESTART_SETTLE_MS, RESTORE_SETTLE_MS } from './constants.js'
import { createLeaseReader } from './createLeaseReader.js'
import { createLeaseWriter } from './createLeaseWriter.js'
import { createLimitKeeper } from './createLimitKeeper.js'
import { createOutage } from './createOutage.js'
import { createOwnRecords } from './createOwnRecords.js'
import { deadKeys, emptyBook, takePage, viewLeases } from './leaseBook.js'
import { encodeLease, leaseKeyOf } from './leaseCodec.js'
import { makeOwnLease, mayBegin, renewedLease, reviewLease } from './ownLease.js'

import type { EventLog, TimerService, Unsubscribe } from '@figmount/base'
import type { ColdWant, LeaseDecision, LeaseView } from '@figmount/decisions'
import type { FeedPage, NewRecord, WritableFeed } from '@figmount/fleet'
import type { OwnLease } from './ownLease.js'
import type { LeaseNeeds, LoadLeases } from './types.js'

interface Options {
  readonly feed: WritableFeed
  readonly instance: string
  readonly timers: TimerService
  readonly events: EventLog
  /** False after a restart of the agent. */
  readonly isFirstStart: boolean
  /** The store has come back from an older copy. */
  readonly onRestored: (listener: () => void) => () => void
  readonly makeId: () => string
  /** Called when the agent has got a lease, or needs none any more. */
  readonly changed: () => void
}

const NO_NEEDS: LeaseNeeds = { wants: [], loadingModel: '', isMakingRoom: false, isHeld: () => false }

/** Number from 0 to 1 that differs between instances: agents with equal needs do not attempt at the same instant. */
const jitterOf = (instance: string): number => Number(hash64(instance) % 1_000n) / 1_000

/**
 * Creates the leases of one agent.
 *
 * Guards against loads that slow each other down at a store that carries fewer: routers and agents see each other's loads a tenth of a
 * second late, and after a restart of all of them not at all. The log accepts a lease only if no other one was taken since its agent read.
 */
export const createLoadLeases = (options: Options): LoadLeases => {
  const { feed, instance, timers, events } = options
  let settledMs = options.isFirstStart ? -Infinity : timers.nowMs() + RESTART_SETTLE_MS
  const jitter = jitterOf(instance)
  const readOutage = createOutage(timers)
  const writeOutage = createOutage(timers)
  const ownRecords = createOwnRecords(timers)
  let needs = NO_NEEDS
  let lastNeededMs = -Infinity
  let book = emptyBook
  let held: OwnLease | undefined
  /** A lease whose append is under way. */
  let pending: OwnLease | undefined
  /** Leases whose append got no answer and was not seen: it may be carried out later. */
  const unseen = new Map<string, OwnLease>()
  /** Models that the engine could not make room for, and until when other agents come first. */
  const passedOver = new Map<string, number>()
  let stopTimer: Unsubscribe = () => {}
  let attemptModel = ''
  let awaitedModel = ''
  let isFallback = false
  let lastFault = ''
  let isRenewing = false
  let lastWrite: Promise<void> = Promise.resolve()
  let isStopped = false

  const updateFallback = (): void => {
    const wasFallback = isFallback
    isFallback = readOutage.isLong() || writeOutage.isLong()
    if (wasFallback && !isFallback) events.emit(SidecarEvent.leasesRegained, { peer: feed.name })
    if (wasFallback || !isFallback) return
    events.emit(SidecarEvent.leasesLost, { peer: feed.name, reason: lastFault })
    options.changed()
  }

  const writer = createLeaseWriter({
    feed,
    timers,
    answered: () => {
      writeOutage.noteAnswer()
      updateFallback()
    },
    failed: (fault, beganMs) => {
      lastFault = fault.message
      writeOutage.noteFailure(beganMs)
    }
  })

  const limitKeeper = createLimitKeeper({ feed, timers, events, writer })

  const othersLeases = (): readonly LeaseView[] => viewLeases(book, timers.nowMs(), key => key === held?.key || key === pending?.key)

  const recordOf = ({ key, modelName, waitingCount, takenMs, lifetimeMs }: OwnLease): NewRecord =>
    encodeLease(key, { modelName, waitingCount, lifetimeMs, takenUnixMs: timers.unixMs() - (timers.nowMs() - takenMs) })

  const isNeeded = ({ modelName }: OwnLease): boolean =>
    needs.loadingModel === modelName || needs.wants.some(want => want.modelName === modelName)

  /** Writes one after the other: one that arrived late would undo a later one under the same key. */
  const inTurn = async (write: () => Promise<void>): Promise<void> => {
    const done = lastWrite.then(write)
    lastWrite = done.catch(() => {})
    await done
  }

  const leftMs = ({ takenMs, lifetimeMs }: OwnLease): number => takenMs + lifetimeMs - timers.nowMs()

  const remove = (lease: OwnLease): void => {
    ownRecords.note({ key: lease.key, value: undefined }, leftMs(lease))
    runInBackground(events, 'leases.remove', inTurn(async () => { await writer.remove(lease.key, lease.lifetimeMs) }))
  }

  const release = (lease: OwnLease, reason: string): void => {
    held = undefined
    events.emit(SidecarEvent.leaseReleased, { model: lease.modelName, reason, durationMs: Math.round(timers.nowMs() - lease.takenMs) })
    remove(lease)
  }

  // The weight store may go on with a load whose engine is gone, and would slow down the next one. So the lease keeps its place until it
  // expires, but not its model.
  const leaveToExpire = (lease: OwnLease): void => {
    held = undefined
    events.emit(SidecarEvent.leaseLeft, { model: lease.modelName, durationMs: Math.round(timers.nowMs() - lease.takenMs) })
    const record = recordOf({ ...lease, modelName: '' })
    ownRecords.note(record, leftMs(lease))
    runInBackground(events, 'leases.leave', inTurn(async () => { await writer.append([record]) }))
  }

  const adopt = (lease: OwnLease): void => {
    pending = undefined
    held = lease
    ownRecords.note(recordOf(lease), leftMs(lease))
    awaitedModel = ''
    events.emit(SidecarEvent.leaseTaken, { model: lease.modelName, concurrentCount: lease.concurrentCount - 1, maxCount: book.pace.fullSpeedCount })
    options.changed()
  }

  const takeLease = async (lease: OwnLease, atOffset: number): Promise<void> => {
    pending = lease
    const removals = deadKeys(book, timers.nowMs()).map(key => ({ key, value: undefined }))
    const result = await writer.append([recordOf(lease), ...removals], atOffset)
    // A read has shown this lease before the append was answered, or an earlier one that is used instead.
    if (pending !== lease) {
      if (result !== 'moved' && result !== 'unknown' && held?.key !== lease.key) remove(lease)
      return
    }
    pending = undefined
    if (result === 'appended') return adopt(lease)
    if (result === 'moved') return
    // Others may have taken leases of which the read before the store came back says nothing.
    if (result === 'elsewhere') return remove(lease)
    // Without an answer the append may have been carried out, or may be later: reads show it.
    unseen.set(lease.key, lease)
    reader.restart(false)
  }

  const noteAwaited = ({ modelName, waitingCount }: ColdWant, otherCount: number, waitMs: number): void => {
    if (modelName === awaitedModel) return
    awaitedModel = modelName
    events.emit(SidecarEvent.leaseAwaited, { model: modelName, count: waitingCount, concurrentCount: otherCount, maxCount: book.pace.fullSpeedCount, waitMs: Math.round(waitMs) })
  }

  const decide = (): LeaseDecision | undefined => {
    const [first] = needs.wants
    if (!first || held || pending || reader.endOffset() === undefined) return undefined
    const leases = othersLeases()
    const decision = judgeLease({
      wants: needs.wants,
      leases,
      fullSpeedCount: book.pace.fullSpeedCount,
      mayTryMore: mayTryMore(book.pace, first.coldLoadMs, timers.nowMs()),
      jitter
    })
    noteAwaited(first, leases.length, decision.type === 'wait' ? decision.forMs : decision.afterMs)
    return decision
  }

  const attempt = (): void => {
    attemptModel = ''
    const atOffset = reader.endOffset()
    const decision = decide()
    if (decision?.type !== 'take' || atOffset === undefined) return
    const key = leaseKeyOf(instance, options.makeId())
    const lease = makeOwnLease(key, atOffset, decision.want, othersLeases().length + 1, book.pace.fullSpeedCount, timers.nowMs())
    runInBackground(events, 'leases.take', takeLease(lease, atOffset))
  }

  /** Plans the next attempt to take a lease; one that is planned for the same model stands. */
  const planAttempt = (): void => {
    const decision = decide()
    const nextModel = decision?.type === 'take' ? decision.want.modelName : ''
    if (nextModel !== '' && nextModel === attemptModel) return
    stopTimer()
    attemptModel = nextModel
    if (!decision) return
    const pauseMs = Math.max(0, settledMs - timers.nowMs(), writer.pauseLeftMs())
    if (decision.type === 'take') stopTimer = timers.after(pauseMs + decision.afterMs, attempt)
    else stopTimer = timers.after(decision.forMs, planAttempt)
  }

  /** The lease stands where it was to be appended, not in the later history of a store that has come back from an older copy. */
  const isInPlace = ({ key, atOffset }: OwnLease): boolean => book.leases.get(key)?.offset === atOffset

  /** Uses or removes leases whose append was carried out after it had got no answer. */
  const settleUnseen = (): void => {
    for (const [key, lease] of unseen) {
      const isOver = timers.nowMs() - lease.takenMs > 2 * lease.lifetimeMs
      if (!isOver && !book.leases.has(key)) continue
      unseen.delete(key)
      if (isOver) continue
      if (held || !isNeeded(lease) || !isInPlace(lease)) {
        remove(lease)
        continue
      }
      if (pending) unseen.set(pending.key, pending)
      adopt(lease)
    }
  }

  const reader = createLeaseReader({
    feed,
    timers,
    events,
    isNeeded: () => !isStopped && needs.wants.length > 0 && !held,
    take: (page: FeedPage, isWhole: boolean) => {
      readOutage.noteAnswer()
      updateFallback()
      limitKeeper.noteRead(page)
      book = takePage(book, page, isWhole, { nowMs: timers.nowMs(), unixMs: timers.unixMs() })
      if (pending && isInPlace(pending)) adopt(pending)
      settleUnseen()
      planAttempt()
    },
    failed: (fault, beganMs) => {
      lastFault = fault.message
      readOutage.noteFailure(beganMs)
    }
  })

  /** Tells the limit what the load shows: that others slow it down, or that the store carries as many as began with it. */
  const observe = (lease: OwnLease, hasEnded: boolean): OwnLease => {
    if (lease.begunMs === undefined || lease.isSlowed) return lease
    const observation = {
      fullSpeedMs: lease.coldLoadMs, tookMs: timers.nowMs() - lease.begunMs, concurrentCount: lease.concurrentCount, hasEnded
    }
    const isSlowed = isSlowedLoad(observation)
    const isProof = hasEnded && lease.concurrentCount > book.pace.fullSpeedCount
    if (isSlowed || isProof) limitKeeper.note(lease.modelName, observation)
    return { ...lease, isSlowed }
  }

  const renew = async (renewed: OwnLease): Promise<void> => {
    if (held?.key !== renewed.key) return
    ownRecords.note(recordOf(renewed), leftMs(renewed))
    const result = await writer.append([recordOf(renewed)])
    if (result === 'appended' && held?.key === renewed.key) held = { ...held, lifetimeMs: renewed.lifetimeMs }
  }

  const renewIfDue = (lease: OwnLease): void => {
    const renewed = renewedLease(lease, timers.nowMs())
    if (!renewed || isRenewing || writer.pauseLeftMs() > 0) return
    isRenewing = true
    runInBackground(events, 'leases.renew', inTurn(async () => { await renew(renewed) }).finally(() => { isRenewing = false }))
  }

  const reviewHeld = (lease: OwnLease): void => {
    const review = reviewLease(lease, needs, timers.nowMs())
    if (review.type === 'keep') {
      held = observe(review.lease, false)
      return renewIfDue(held)
    }
    if (review.type === 'lost') return leaveToExpire(lease)
    if (review.type === 'loaded') observe(lease, true)
    if (review.type === 'unused') passedOver.set(lease.modelName, timers.nowMs() + lease.lifetimeMs)
    release(lease, review.type)
  }

  const withoutPassedOver = (next: LeaseNeeds): LeaseNeeds => {
    for (const [modelName, untilMs] of passedOver) {
      if (untilMs < timers.nowMs()) passedOver.delete(modelName)
    }
    return passedOver.size === 0 ? next : { ...next, wants: next.wants.filter(want => !passedOver.has(want.modelName)) }
  }

  /** After a pause the store is tried again, whether it was out of reach or not. */
  const forgetOldOutage = (): void => {
    if (needs.wants.length > 0) lastNeededMs = timers.nowMs()
    else awaitedModel = ''
    if (timers.nowMs() - lastNeededMs < FALLBACK_MS) return
    readOutage.noteAnswer()
    writeOutage.noteAnswer()
    isFallback = false
  }

  const rewrite = async (): Promise<void> => {
    for (let records = ownRecords.all(); records.length > 0; records = ownRecords.all()) {
      if (isStopped || await writer.append(records) === 'appended') return
      await sleep(timers, Math.max(LEASE_RETRY_MS, writer.pauseLeftMs()))
    }
  }

  // Guards against loads beyond the limit: leases of loads that go on may be gone, and leases that were removed may be back. Each agent
  // writes its own records again, and takes no lease before the others have done so.
  const stopRestores = options.onRestored(() => {
    settledMs = timers.nowMs() + RESTORE_SETTLE_MS
    reader.restart(true)
    attemptModel = ''
    stopTimer()
    limitKeeper.restore()
    runInBackground(events, 'leases.rewrite', inTurn(rewrite))
  })

  return {
    review: next => {
      needs = withoutPassedOver(next)
      if (held) reviewHeld(held)
      forgetOldOutage()
      updateFallback()
      reader.start()
      planAttempt()
    },
    leasedModel: () => {
      if (isFallback) return undefined
      return held && mayBegin(held, timers.nowMs()) ? held.modelName : ''
    },
    stop: () => {
      isStopped = true
      stopTimer()
      stopRestores()
      if (held && held.begunMs === undefined) release(held, 'the agent stops')
    }
  }
}
