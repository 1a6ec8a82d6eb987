import { createClient } from '@connectrpc/connect'
import { EitherAsync } from 'purify-ts'
import { createTransport, faultFrom, runInBackground } from '@figmount/base'
import { InstanceList } from '@figmount/schema'

import type { EventLog, Fault, InstanceName, TimerService } from '@figmount/base'

/** This instance's entry in the platform's instance list. */
export interface Listing {
  readonly listed: 'present' | 'missing' | 'unknown'
  readonly leaving: boolean
}

/** Reads the list once. */
export type ReadListing = (instance: InstanceName) => EitherAsync<Fault, Listing>

const READ_TIMEOUT_MS = 1_500

/** A read of the list expires after this many periods. */
const STALE_PERIODS = 3

/** Reads the platform's instance list over RPC. */
export const readListingFrom = (address: string): ReadListing => {
  const client = createClient(InstanceList, createTransport({ address }))
  return instance => EitherAsync(async () => await client.list({}, { timeoutMs: READ_TIMEOUT_MS }))
    .mapLeft(faultFrom('membership.list', address))
    .map(({ instances }) => {
      const own = instances.find(({ name }) => name === instance)
      return { listed: own ? 'present' : 'missing', leaving: own?.leaving ?? false } as const
    })
}

interface Options {
  readonly instance: InstanceName
  readonly timers: TimerService
  readonly events: EventLog
  readonly periodMs: number
  readonly read: ReadListing
  readonly onChange: (listing: Listing) => void
}

/** The instance's own entry in the list, a second source beside the log; it lags behind. */
export interface InstanceWatch {
  readonly current: () => Listing
  /** Reads the list now; resolves when the read has succeeded or timed out. */
  readonly refresh: () => Promise<void>
  readonly stop: () => void
}

const UNKNOWN: Listing = { listed: 'unknown', leaving: false }

/** Polls this instance's entry in the instance list. */
export const watchInstances = ({ instance, timers, events, periodMs, read, onChange }: Options): InstanceWatch => {
  let listing = UNKNOWN
  let readAtMs = Number.NEGATIVE_INFINITY

  const readList = async (): Promise<void> => {
    const askedAtMs = timers.nowMs()
    const answer = (await read(instance).run()).toMaybe().extract()
    if (!answer) return
    const hasChanged = answer.listed !== listing.listed || answer.leaving !== listing.leaving
    listing = answer
    readAtMs = askedAtMs
    if (hasChanged) onChange(answer)
  }

  runInBackground(events, 'membership.list', readList())
  const stop = timers.every(Math.max(1, periodMs), () => runInBackground(events, 'membership.list', readList()))
  return {
    // An expired read proves nothing: the list may have removed or re-added the instance since.
    current: () => timers.nowMs() - readAtMs <= periodMs * STALE_PERIODS ? listing : { ...listing, listed: 'unknown' },
    refresh: readList,
    stop
  }
}
