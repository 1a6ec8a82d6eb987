/** One measured value at one size. */
export interface Point {
  readonly size: number
  readonly value: number
}

/** A quantity measured at four or more sizes. */
export interface Measurement {
  /** Unique name, such as `router.heartbeat.cpu`. */
  readonly name: string
  /** Unit of the value, such as `us/s` or `bytes`. */
  readonly unit: string
  /** The quantity that was varied, such as `links`. */
  readonly per: string
  /** How it was measured, in one sentence. */
  readonly method: string
  readonly points: readonly Point[]
}

/** A straight line through the points of a measurement. */
export interface Slope {
  readonly name: string
  readonly unit: string
  readonly per: string
  readonly method: string
  readonly pointCount: number
  readonly largestSize: number
  readonly intercept: number
  /** Increase of the value per unit of size. */
  readonly slope: number
  /** Standard error of the slope. */
  readonly slopeError: number
  /** Share of the variance that the line explains (R²). */
  readonly fit: number
}
