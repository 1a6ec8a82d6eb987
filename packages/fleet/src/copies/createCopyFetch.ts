import { inflateRawSync } from 'node:zlib'
import { Either } from 'purify-ts'

import type { TimerService } from '@figmount/base'
import type { FeedRecord } from '../feeds/types.js'
import type { DeploymentAsked, DeploymentPiece } from '../messages/types.js'

/** How often a process that is behind reviews its fetch. */
const REVIEW_PERIOD_MS = 50

/** Largest configuration that is unpacked: more than the store takes in one record. */
const MAX_CONFIGURATION_BYTES = 64 * 1024 * 1024

interface Options {
  readonly timers: TimerService
  /** Offset of the process's newest configuration; -1 for none. */
  readonly ownOffset: () => number
  /** The process reads the store itself. */
  readonly readsStore: () => boolean
  /** Time since the latest part of the answer to the process's own read; Infinity while no answer arrives. */
  readonly readQuietMs: () => number
  readonly plan: (view: { readonly behindMs: number, readonly readsStore: boolean, readonly readQuietMs: number, readonly fetchQuietMs: number | undefined }) => 'fetch' | 'wait'
  /** Asks a peer for a piece; the process has been behind for `behindMs`. */
  readonly ask: (peer: string, asked: DeploymentAsked, behindMs: number) => void
  readonly take: (record: FeedRecord) => void
}

/** Fetches configurations that peers have and the process lacks, one at a time and piece by piece. */
export interface CopyFetch {
  /** A peer has the configuration at an offset. */
  readonly noteOffer: (peer: string, offset: number) => void
  readonly takePiece: (peer: string, piece: DeploymentPiece) => void
  readonly losePeer: (peer: string) => void
  /** Fetches that failed since the process was last up to date. */
  readonly failedCount: () => number
}

interface OpenFetch {
  readonly peer: string
  readonly offset: number
  readonly pieces: readonly Uint8Array[]
  readonly quietSinceMs: number
}

/**
 * Creates the fetch of one process.
 *
 * Guards against a process that gets no configuration from the store, or not in time: it would use an old one for seconds. Each piece is
 * asked for when the one before has arrived, so that at most one is under way on a narrow link.
 */
export const createCopyFetch = (options: Options): CopyFetch => {
  const { timers, ownOffset } = options
  const offers = new Map<string, number>()
  let open: OpenFetch | undefined
  let behindSinceMs: number | undefined
  let failedCount = 0
  let isReviewDue = false
  let takenOffset = -Infinity

  // Guards against a configuration that the process does not put in force, as it has a newer version or cannot decode it: it would be
  // fetched again and again.
  const isNewer = (offset: number): boolean => offset > ownOffset() && offset > takenOffset

  const newerOffers = (): ReadonlyArray<readonly [peer: string, offset: number]> => [...offers].filter(([, offset]) => isNewer(offset))

  const askNext = (): void => {
    if (!open) return
    const behindMs = timers.nowMs() - (behindSinceMs ?? timers.nowMs())
    options.ask(open.peer, { type: 'deploymentAsked', offset: open.offset, index: open.pieces.length }, behindMs)
  }

  /** Counts a failed fetch; its peer is the last to be asked again. */
  const noteFailure = (peer: string): void => {
    failedCount += 1
    const offset = offers.get(peer)
    if (offset === undefined) return
    offers.delete(peer)
    offers.set(peer, offset)
  }

  /** Asks the first peer that offers the newest configuration. */
  const begin = (): void => {
    if (open) noteFailure(open.peer)
    const newer = newerOffers()
    const newestOffset = Math.max(...newer.map(([, offset]) => offset))
    const [peer, offset] = newer.find(([, offered]) => offered === newestOffset) ?? []
    if (peer === undefined || offset === undefined) return
    open = { peer, offset, pieces: [], quietSinceMs: timers.nowMs() }
    askNext()
  }

  const review = (): void => {
    if (newerOffers().length === 0) {
      open = undefined
      behindSinceMs = undefined
      failedCount = 0
      return
    }
    const nowMs = timers.nowMs()
    behindSinceMs ??= nowMs
    const plan = options.plan({
      behindMs: nowMs - behindSinceMs,
      readsStore: options.readsStore(),
      readQuietMs: options.readQuietMs(),
      fetchQuietMs: open && nowMs - open.quietSinceMs
    })
    if (plan === 'fetch') begin()
    reviewLater()
  }

  const reviewLater = (): void => {
    if (isReviewDue) return
    isReviewDue = true
    timers.after(REVIEW_PERIOD_MS, () => {
      isReviewDue = false
      review()
    })
  }

  const finish = ({ peer, offset, pieces }: OpenFetch, key: string): void => {
    open = undefined
    Either.encase(() => inflateRawSync(Buffer.concat(pieces), { maxOutputLength: MAX_CONFIGURATION_BYTES })).caseOf({
      Left: () => { noteFailure(peer) },
      Right: value => {
        takenOffset = offset
        options.take({ key, value, offset })
      }
    })
    review()
  }

  return {
    noteOffer: (peer, offset) => {
      offers.set(peer, offset)
      if (isNewer(offset)) review()
    },
    takePiece: (peer, { offset, index, count, key, bytes }) => {
      if (open?.peer !== peer) return
      // The peer has dropped the configuration that was asked for and begins with its newest one.
      const pieces = offset === open.offset ? open.pieces : []
      if (index !== pieces.length) return
      open = { peer, offset, pieces: [...pieces, bytes], quietSinceMs: timers.nowMs() }
      if (!isNewer(offset)) return review()
      if (open.pieces.length === count) return finish(open, key)
      askNext()
    },
    losePeer: peer => {
      offers.delete(peer)
      if (open?.peer === peer) open = undefined
    },
    failedCount: () => failedCount
  }
}
