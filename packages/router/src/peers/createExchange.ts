import { match } from 'ts-pattern'

import { RouterEvent } from '../events.js'
import { RECORDS_REQUEST_DELAY_MS, RECORDS_PER_MESSAGE } from './constants.js'

import type { EventLog, LogOffset, TimerService } from '@figmount/base'
import type { RecordsClient } from '@figmount/records'
import type { Suspects, Suspicion } from '../suspects/types.js'
import type { SendGossip, SharedMessage } from './types.js'

interface Options {
  readonly records: RecordsClient
  readonly suspects: Suspects
  readonly timers: TimerService
  readonly events: EventLog
  /** Forwards a suspicion on all links except the one to `from`. */
  readonly forwardSuspicion: (suspicion: Suspicion, from: string) => void
  readonly onLeaving: (peer: string) => void
}

/** Exchange of records, offsets and suspicions with peers of either role. */
export interface Exchange {
  /** Receives a peer's offset; requests the missing records from it if the log does not deliver them. */
  readonly receiveOffset: (offset: LogOffset, send: SendGossip) => void
  readonly take: (peer: string, message: SharedMessage, send: SendGossip) => void
}

/**
 * Exchanges records and suspicions with peers, so that a process that is disconnected from the log
 * still receives them. Records that arrive late are harmless: those below the applied offset are ignored.
 */
export const createExchange = ({ records, suspects, timers, events, forwardSuspicion, onLeaving }: Options): Exchange => {
  let isRequestPending = false

  const receiveOffset = (offset: LogOffset, send: SendGossip): void => {
    if (isRequestPending || offset <= records.state().nextOffset) return
    isRequestPending = true
    timers.after(RECORDS_REQUEST_DELAY_MS, () => {
      isRequestPending = false
      const { nextOffset } = records.state()
      if (offset > nextOffset) send({ type: 'records.ask', fromOffset: nextOffset })
    })
  }

  const receiveSuspicion = (peer: string, suspicion: Suspicion): void => {
    if (!suspects.addFromPeer(suspicion)) return
    events.emit(RouterEvent.suspectHeard, { peer, reason: suspicion.deathId, count: suspicion.fingerprints.length })
    forwardSuspicion(suspicion, peer)
  }

  const take = (peer: string, message: SharedMessage, send: SendGossip): void => match(message)
    .with({ type: 'records' }, ({ records: offered }) => records.offer(offered))
    .with({ type: 'records.ask' }, ({ fromOffset }) => {
      const available = records.rawFrom(fromOffset, RECORDS_PER_MESSAGE)
      if (available.length > 0) send({ type: 'records', records: available })
    })
    .with({ type: 'suspect' }, suspicion => receiveSuspicion(peer, suspicion))
    .with({ type: 'leaving' }, () => onLeaving(peer))
    .exhaustive()

  return { receiveOffset, take }
}
