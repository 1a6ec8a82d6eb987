/** What a span of time on a lane shows. */
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

/** Something that lasted, on the lane of one process. */
export interface Span {
  readonly lane: string
  readonly kind: SpanKind
  readonly label: string
  readonly fromMs: number
  readonly toMs: number
  readonly end: SpanEnd
}

/** Something that happened at one moment. */
export interface Mark {
  readonly lane: string
  readonly label: string
  readonly atMs: number
  readonly severe: boolean
}

/** Everything that a picture shows. */
export interface Picture {
  readonly lanes: readonly string[]
  readonly spans: readonly Span[]
  readonly marks: readonly Mark[]
  readonly fromMs: number
  readonly toMs: number
}
