/** Which activity a span shows. */
export const SpanKind = {
  Request: 'request',
  Run: 'run',
  Load: 'load',
  Resident: 'resident',
  Drain: 'drain'
} as const

export type SpanKind = typeof SpanKind[keyof typeof SpanKind]

/** How a span ended. */
export type SpanEnd = 'good' | 'refused' | 'failed' | 'open'

/** An activity with a start and an end, on the lane of one process. */
export interface Span {
  readonly lane: string
  readonly kind: SpanKind
  readonly label: string
  readonly fromMs: number
  readonly toMs: number
  readonly end: SpanEnd
}

/** An event at one point in time, on the lane of one process. */
export interface Mark {
  readonly lane: string
  readonly label: string
  readonly atMs: number
  readonly isSevere: boolean
}

/** The lanes, spans and marks to draw, and the time range that they cover. */
export interface Diagram {
  readonly lanes: readonly string[]
  readonly spans: readonly Span[]
  readonly marks: readonly Mark[]
  readonly fromMs: number
  readonly toMs: number
}
