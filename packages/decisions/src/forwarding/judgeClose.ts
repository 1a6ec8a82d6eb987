import { ProbeResult } from '../crashes/judgeBreak.js'

/** What a router knows about a server that has closed the connection of an answer which nothing else marks as complete. */
export interface CloseView {
  /** Result of the newest health check that was sent after the close; undefined until the first one has ended. */
  readonly probe: ProbeResult | undefined
  /** The list or an agent shows a later start, or the end of this one. */
  readonly isDead: boolean
  /** Time since the close. */
  readonly ageMs: number
  /** Time for which the caller can wait. */
  readonly maxAgeMs: number
}

export const CloseVerdict = { Whole: 'whole', BrokenOff: 'broken_off', Open: 'open' } as const

export type CloseVerdict = typeof CloseVerdict[keyof typeof CloseVerdict]

/**
 * Whether an answer is complete whose server closed the connection in order, without a length or a last chunk.
 *
 * The system closes the connections of a killed process in order, too. A process that answers afterwards has closed the connection
 * itself. In doubt the answer is not complete.
 */
export const judgeClose = ({ probe, isDead, ageMs, maxAgeMs }: CloseView): CloseVerdict => {
  if (isDead || probe === ProbeResult.Refused || probe === ProbeResult.OtherServer) return CloseVerdict.BrokenOff
  if (probe === ProbeResult.Alive) return CloseVerdict.Whole
  return ageMs < maxAgeMs ? CloseVerdict.Open : CloseVerdict.BrokenOff
}
