/** How often a server fails of late: a share that decays towards 0. A plain value. */
export interface FailureShare {
  readonly share: number
  readonly asOfMs: number
}

/** Weight of the newest outcome: five requests or so decide. */
const NEWEST_WEIGHT = 0.25

/** A server that is not tried any more is thought sound again after a few of these. */
const DECAY_MS = 4_000

/** No failures are known. */
export const noFailures = (nowMs: number): FailureShare => ({ share: 0, asOfMs: nowMs })

/** The share now; without new outcomes it fades, so that an avoided server is tried again. */
export const failureShareAt = (failures: FailureShare, nowMs: number): number =>
  failures.share * Math.exp(-Math.max(0, nowMs - failures.asOfMs) / DECAY_MS)

/**
 * Takes in one outcome.
 *
 * Load pattern: a server that fails two requests in five while its health check is good. Without it the failing server
 * answers fast, looks least loaded, and draws the most requests.
 */
export const noteOutcome = (failures: FailureShare, hasFailed: boolean, nowMs: number): FailureShare => {
  const share = failureShareAt(failures, nowMs)
  return { share: share + NEWEST_WEIGHT * ((hasFailed ? 1 : 0) - share), asOfMs: nowMs }
}

/** What a router saw of one request at one server. */
export interface SeenOutcome {
  readonly hasFailed: boolean
  /** The caller left before the end. */
  readonly hasLeft: boolean
  /** Nothing of an answer had come. */
  readonly isSilent: boolean
  readonly waitedMs: number
}

/** A caller that leaves a silent server after this long left because of it; one that leaves sooner had its own reasons. */
const SILENT_LEAVE_MS = 1_000

/**
 * Whether an outcome counts against the server.
 *
 * Load pattern: a server that is cut off with its connections open. Its requests end with callers that leave, not with
 * failures; without counting these it keeps its share of the requests until its entry lapses.
 */
export const countsAsFailure = ({ hasFailed, hasLeft, isSilent, waitedMs }: SeenOutcome): boolean =>
  hasLeft ? isSilent && waitedMs >= SILENT_LEAVE_MS : hasFailed
