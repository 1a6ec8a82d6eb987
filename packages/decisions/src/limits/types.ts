/** Quota of an organisation, in its own unit: requests or tokens. */
export interface RateLimit {
  readonly unitsPerS: number
  /** Units that may be used at once after a pause. */
  readonly burstUnits: number
}

/** Token bucket for a share of a limit, held by one process. A plain value. */
export interface TokenBucket {
  /** Units that may be taken now; below 0 when in debt. */
  readonly levelUnits: number
  readonly asOfMs: number
}

/** Units requested for one request. */
export interface UnitsRequest {
  readonly units: number
  /** Maximum time that the request may wait for them. */
  readonly maxWaitMs: number
}

/** Units that a bucket must hold before a request of this size may take its units. */
export type NeededUnits = (units: number, limit: RateLimit) => number

/** Result of a request for units. */
export type TakeResult =
  /** The units may be used after `waitMs`. */
  | { readonly isTaken: true, readonly bucket: TokenBucket, readonly waitMs: number }
  /** The units would be available after `retryAfterMs`. */
  | { readonly isTaken: false, readonly bucket: TokenBucket, readonly retryAfterMs: number }
