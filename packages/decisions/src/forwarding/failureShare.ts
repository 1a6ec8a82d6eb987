/** Recent share of failed requests at a server; it decays towards 0. A plain value. */
export interface FailureShare {
  readonly share: number
  readonly asOfMs: number
}

/** Weight of the latest outcome: about the last five requests determine the share. */
const NEWEST_WEIGHT = 0.25

/** Time constant of the decay. A server that gets no requests counts as healthy again after a few of these. */
const DECAY_MS = 4_000

/** Initial state without failures. */
export const noFailures = (nowMs: number): FailureShare => ({ share: 0, asOfMs: nowMs })

/** The current share. It decays without new outcomes, so that an avoided server is tried again. */
export const failureShareAt = (failures: FailureShare, nowMs: number): number =>
  failures.share * Math.exp(-Math.max(0, nowMs - failures.asOfMs) / DECAY_MS)

/**
 * Updates the share with one outcome.
 *
 * Load pattern: a server that fails two requests in five while it passes its health check. Its failures are fast, so it
 * would seem the least loaded and attract the most requests.
 */
export const noteOutcome = (failures: FailureShare, hasFailed: boolean, nowMs: number): FailureShare => {
  const share = failureShareAt(failures, nowMs)
  return { share: share + NEWEST_WEIGHT * ((hasFailed ? 1 : 0) - share), asOfMs: nowMs }
}

/** Outcome of one request at one server, as observed by a router. */
export interface RequestOutcome {
  readonly hasFailed: boolean
  /** The caller left before the end. */
  readonly hasLeft: boolean
  /** No part of an answer was received. */
  readonly isSilent: boolean
  readonly waitedMs: number
}

/** A caller that leaves without an answer after this long left because of the server; one that leaves earlier had other reasons. */
const SILENT_LEAVE_MS = 1_000

/**
 * Whether an outcome counts as a failure of the server.
 *
 * Load pattern: a server that is partitioned while its connections stay open. Its requests end with callers that leave rather than
 * with failures. Unless these count, it keeps its share of the requests until its directory entry expires.
 */
export const countsAsFailure = ({ hasFailed, hasLeft, isSilent, waitedMs }: RequestOutcome): boolean =>
  hasLeft ? isSilent && waitedMs >= SILENT_LEAVE_MS : hasFailed
