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
  /** Version of the process's newest configuration; -1 for none. */
  readonly ownVersion: () => number
  /** The process reads the store itself. */
  readonly readsStore: () => boolean
  /** Time since the latest part of the answer to the process's own read; Infinity while no answer arrives. */
  readonly readQuietMs: () => number
  readonly plan: (view: {
    readonly behindMs: number
    readonly readsStore: boolean
    readonly readQuietMs: number
    readonly mayReadAgain: boolean
    readonly fetchQuietMs: number | undefined
  }) => 'fetch' | 'readAgain' | 'wait'
  /** Begins the own read of the store again; without it the process fetches at once. */
  readonly readAgain?: () => void
  /** Asks a peer for a piece; the process has been behind for `behindMs`. */
  readonly ask: (peer: string, asked: DeploymentAsked, behindMs: number) => void
  readonly take: (record: FeedRecord) => void
}

/** Fetches configurations that peers have and the process lacks, one at a time and piece by piece. */
export interface CopyFetch {
  /** A peer has this version of the configuration. */
  readonly noteOffer: (peer: string, version: number) => void
  readonly takePiece: (peer: string, piece: DeploymentPiece) => void
  readonly losePeer: (peer: string) => void
  /** Fetches that failed since the process was last up to date. */
  readonly failedCount: () => number
  /** A peer offers a newer configuration. */
  readonly isOffered: () => boolean
}

interface OpenFetch {
  readonly peer: string
  readonly version: number
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
  const { timers, ownVersion } = options
  const offers = new Map<string, number>()
  let open: OpenFetch | undefined
  let behindSinceMs: number | undefined
  /** When the own read began again; undefined if it has not since the process was up to date. */
  let readAgainMs: number | undefined
  let failedCount = 0
  let isReviewDue = false
  let takenVersion = -Infinity

  // Guards against a configuration that the process does not put in force, as it has a newer version or cannot decode it: it would be
  // fetched again and again.
  const isNewer = (version: number): boolean => version > ownVersion() && version > takenVersion

  const newerOffers = (): ReadonlyArray<readonly [peer: string, version: number]> => [...offers].filter(([, version]) => isNewer(version))

  const askNext = (): void => {
    if (!open) return
    const behindMs = timers.nowMs() - (behindSinceMs ?? timers.nowMs())
    options.ask(open.peer, { type: 'deploymentAsked', version: open.version, index: open.pieces.length }, behindMs)
  }

  /** Counts a failed fetch; its peer is the last to be asked again. */
  const noteFailure = (peer: string): void => {
    failedCount += 1
    const version = offers.get(peer)
    if (version === undefined) return
    offers.delete(peer)
    offers.set(peer, version)
  }

  /** Asks the first peer that offers the newest configuration. */
  const begin = (): void => {
    if (open) noteFailure(open.peer)
    const newer = newerOffers()
    const newestVersion = Math.max(...newer.map(([, version]) => version))
    const [peer, version] = newer.find(([, offered]) => offered === newestVersion) ?? []
    if (peer === undefined || version === undefined) return
    open = { peer, version, pieces: [], quietSinceMs: timers.nowMs() }
    askNext()
  }

  const review = (): void => {
    if (newerOffers().length === 0) {
      open = undefined
      behindSinceMs = undefined
      readAgainMs = undefined
      failedCount = 0
      return
    }
    const nowMs = timers.nowMs()
    behindSinceMs ??= nowMs
    const plan = options.plan({
      behindMs: nowMs - (readAgainMs ?? behindSinceMs),
      readsStore: options.readsStore(),
      readQuietMs: options.readQuietMs(),
      mayReadAgain: options.readAgain !== undefined && readAgainMs === undefined,
      fetchQuietMs: open && nowMs - open.quietSinceMs
    })
    if (plan === 'fetch') begin()
    if (plan === 'readAgain') {
      readAgainMs = nowMs
      options.readAgain?.()
    }
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

  const finish = ({ peer, version, pieces }: OpenFetch, { key, offset }: DeploymentPiece): void => {
    open = undefined
    Either.encase(() => inflateRawSync(Buffer.concat(pieces), { maxOutputLength: MAX_CONFIGURATION_BYTES })).caseOf({
      Left: () => { noteFailure(peer) },
      Right: value => {
        takenVersion = version
        options.take({ key, value, offset })
      }
    })
    review()
  }

  return {
    noteOffer: (peer, version) => {
      offers.set(peer, version)
      if (isNewer(version)) review()
    },
    takePiece: (peer, piece) => {
      const { version, index, count, bytes } = piece
      if (open?.peer !== peer) return
      // The peer has dropped the configuration that was asked for and begins with its newest one.
      const pieces = version === open.version ? open.pieces : []
      if (index !== pieces.length) return
      open = { peer, version, pieces: [...pieces, bytes], quietSinceMs: timers.nowMs() }
      if (!isNewer(version)) return review()
      if (open.pieces.length === count) return finish(open, piece)
      askNext()
    },
    losePeer: peer => {
      offers.delete(peer)
      if (open?.peer === peer) open = undefined
    },
    failedCount: () => failedCount,
    isOffered: () => newerOffers().length > 0
  }
}
