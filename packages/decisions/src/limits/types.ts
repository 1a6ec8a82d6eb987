/** A quota: a limit on an organisation's requests, in units of its own: requests or tokens. */
export interface RateLimit {
  readonly unitsPerS: number
  /** Units that may come at once after a pause. */
  readonly burstUnits: number
}

/** A part of a limit, held by one process. A plain value. */
export interface TokenBucket {
  /** Units that may be taken now; below 0 they are owed. */
  readonly levelUnits: number
  readonly asOfMs: number
}

/** One request for units. */
export interface UnitsRequest {
  readonly units: number
  /** The request may wait this long for them. */
  readonly maxWaitMs: number
}

/** Units that a bucket must hold for a request of this size to take its units. */
export type NeededUnits = (units: number, limit: RateLimit) => number

/** What became of a request for units. */
export type Taking =
  /** They may be used after this time. */
  | { readonly isTaken: true, readonly bucket: TokenBucket, readonly waitMs: number }
  /** They would be there after this time. */
  | { readonly isTaken: false, readonly bucket: TokenBucket, readonly retryAfterMs: number }
