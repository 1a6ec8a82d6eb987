import type { DeadlyParts } from './findDeadlyParts.js'

/** A request's prompt beside the parts of which servers die. */
export interface PromptView {
  readonly partIds: readonly string[]
  readonly deadlyParts: readonly DeadlyParts[]
  readonly nowMs: number
  /** Time since this router last ran a request to find out about these parts; Infinity if it has not, 0 or more. */
  readonly sinceTrialMs: (parts: DeadlyParts) => number
}

/** Whether a request may be run by the parts of its prompt. */
export type PromptVerdict =
  | { readonly type: 'run' }
  /** It is run to find out about these parts. */
  | { readonly type: 'trial', readonly parts: DeadlyParts }
  | { readonly type: 'wait', readonly waitMs: number }
  | { readonly type: 'deadly', readonly retryAfterMs: number }

/** Time between two trials of the same parts at one router: a server has died of the first one by then, or has written for a while. */
const TRIAL_PERIOD_MS = 1_000

/** Time after a death in which requests with several of the parts wait, for an answer to one with fewer of them. */
const TIE_PAUSE_MS = 1_000

/** Time after the second death in which no request with the parts is run, and its growth with each further death. */
const PAUSE_MS = 20_000
const PAUSE_GROWTH = 6

/** The same for parts on which servers have written before: it is likelier that the servers died of something else. */
const PROVEN_PAUSE_MS = 2_000
const PROVEN_PAUSE_GROWTH = 4

const FIRST_PAUSE_DEATHS = 2

const pauseMs = ({ wereProven, deathCount }: DeadlyParts): number => wereProven
  ? PROVEN_PAUSE_MS * PROVEN_PAUSE_GROWTH ** (deathCount - FIRST_PAUSE_DEATHS)
  : PAUSE_MS * PAUSE_GROWTH ** (deathCount - FIRST_PAUSE_DEATHS)

const tryInTurn = (parts: DeadlyParts, sinceTrialMs: number): PromptVerdict =>
  sinceTrialMs >= TRIAL_PERIOD_MS ? { type: 'trial', parts } : { type: 'wait', waitMs: TRIAL_PERIOD_MS - sinceTrialMs }

const judge = (parts: DeadlyParts, commonCount: number, { nowMs, sinceTrialMs }: PromptView): PromptVerdict => {
  const sinceDeathMs = nowMs - parts.lastDeathMs
  if (commonCount < parts.partIds.length) {
    // One of the parts that the request lacks may be the cause.
    if (commonCount > 1 && sinceDeathMs < TIE_PAUSE_MS) return { type: 'wait', waitMs: TIE_PAUSE_MS - sinceDeathMs }
    return tryInTurn(parts, sinceTrialMs(parts))
  }
  const leftMs = pauseMs(parts) - sinceDeathMs
  if (leftMs <= 0) return tryInTurn(parts, sinceTrialMs(parts))
  return parts.wereProven ? { type: 'wait', waitMs: leftMs } : { type: 'deadly', retryAfterMs: leftMs }
}

/**
 * Judges a request by the parts of its prompt.
 *
 * A request that has all parts of which one is the cause is not run, but for a trial after a pause that grows with each death. One that has some
 * of them is run as a trial, one a second at each router, until a server has written on it.
 */
export const judgePrompt = (view: PromptView): PromptVerdict => {
  const own = new Set(view.partIds)
  let verdict: PromptVerdict = { type: 'run' }
  for (const parts of view.deadlyParts) {
    const commonCount = parts.partIds.filter(partId => own.has(partId)).length
    if (commonCount === 0) continue
    const next = judge(parts, commonCount, view)
    if (next.type === 'deadly') return next
    if (next.type === 'wait' || verdict.type === 'run') verdict = next
  }
  return verdict
}
