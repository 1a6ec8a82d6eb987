import { match } from 'ts-pattern'

import { RouterEvent } from '../events.js'
import { ASK_GRACE_MS, RECORDS_PER_MESSAGE } from './constants.js'

import type { EventLog, LogOffset, TimerService } from '@figmount/base'
import type { RecordsClient } from '@figmount/records'
import type { Suspects, Suspicion } from '../suspects/types.js'
import type { SendGossip, SharedMessage } from './types.js'

interface Options {
  readonly records: RecordsClient
  readonly suspects: Suspects
  readonly timers: TimerService
  readonly events: EventLog
  /** Passes a suspicion on to everybody this router has a link to, but for `from`. */
  readonly spread: (suspicion: Suspicion, from: string) => void
  readonly onLeaving: (peer: string) => void
}

/** What peers tell each other whatever their role: records, offsets, suspicions. */
export interface Exchange {
  /** Hears of a peer's offset; asks for the records if the log does not bring them. */
  readonly hearOffset: (offset: LogOffset, send: SendGossip) => void
  readonly take: (peer: string, message: SharedMessage, send: SendGossip) => void
}

/**
 * Passes records and suspicions on between peers, so that a process that is cut off from the
 * log follows all the same. The fold only goes forward, so whatever comes late does no harm.
 */
export const createExchange = ({ records, suspects, timers, events, spread, onLeaving }: Options): Exchange => {
  let isAsking = false

  const hearOffset = (offset: LogOffset, send: SendGossip): void => {
    if (isAsking || offset <= records.state().nextOffset) return
    isAsking = true
    timers.after(ASK_GRACE_MS, () => {
      isAsking = false
      const { nextOffset } = records.state()
      if (offset > nextOffset) send({ type: 'records.ask', fromOffset: nextOffset })
    })
  }

  const hearSuspicion = (peer: string, suspicion: Suspicion): void => {
    if (!suspects.addFromPeer(suspicion)) return
    events.emit(RouterEvent.suspectHeard, { peer, reason: suspicion.deathId, count: suspicion.fingerprints.length })
    spread(suspicion, peer)
  }

  const take = (peer: string, message: SharedMessage, send: SendGossip): void => match(message)
    .with({ type: 'records' }, ({ records: offered }) => records.offer(offered))
    .with({ type: 'records.ask' }, ({ fromOffset }) => {
      const kept = records.rawFrom(fromOffset, RECORDS_PER_MESSAGE)
      if (kept.length > 0) send({ type: 'records', records: kept })
    })
    .with({ type: 'suspect' }, suspicion => hearSuspicion(peer, suspicion))
    .with({ type: 'leaving' }, () => onLeaving(peer))
    .exhaustive()

  return { hearOffset, take }
}
