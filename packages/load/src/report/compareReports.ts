import type { FigureChange, Report, TrafficFigures } from './types.js'

/** Width of the noise in standard errors: about 95 in 100 for a handful of runs. */
const NOISE_STANDARD_ERRORS = 2.5
/** Noise that a single run is taken to have, as a share of the figure. */
const SINGLE_RUN_NOISE = 0.15

interface FigureRule {
  readonly figure: string
  readonly read: (figures: TrafficFigures) => number
  readonly higherIsBetter: boolean
}

const RULES: readonly FigureRule[] = [
  { figure: 'goodput a second', read: figures => figures.goodputPerSecond, higherIsBetter: true },
  { figure: 'first token p50 ms', read: figures => figures.firstToken.p50Ms, higherIsBetter: false },
  { figure: 'first token p95 ms', read: figures => figures.firstToken.p95Ms, higherIsBetter: false },
  { figure: 'first token p99 ms', read: figures => figures.firstToken.p99Ms, higherIsBetter: false },
  { figure: 'total p99 ms', read: figures => figures.total.p99Ms, higherIsBetter: false },
  { figure: 'unserved', read: figures => figures.unservedCount, higherIsBetter: false },
  { figure: 'broken', read: figures => figures.brokenCount, higherIsBetter: false }
]

interface Spread {
  readonly mean: number
  readonly standardError: number
}

const spreadOf = (values: readonly number[]): Spread => {
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length
  if (values.length < 2) return { mean, standardError: mean * SINGLE_RUN_NOISE / NOISE_STANDARD_ERRORS }
  const variance = values.reduce((sum, value) => sum + (value - mean) ** 2, 0) / (values.length - 1)
  return { mean, standardError: Math.sqrt(variance / values.length) }
}

const valuesOf = (report: Report, traffic: string, rule: FigureRule): readonly number[] =>
  report.runs.flatMap(run => run.traffic.filter(figures => figures.name === traffic).map(rule.read))

const judge = (rule: FigureRule, before: Spread, after: Spread, noise: number): FigureChange['judgement'] => {
  const difference = after.mean - before.mean
  if (Math.abs(difference) <= noise) return 'within noise'
  return (difference > 0) === rule.higherIsBetter ? 'better' : 'worse'
}

/** Holds a report against an earlier one of the same experiment: what got better, what worse, beyond the noise. */
export const compareReports = (before: Report, after: Report): readonly FigureChange[] => {
  const names = [...new Set(after.runs.flatMap(run => run.traffic.map(figures => figures.name)))].sort()
  const changes: FigureChange[] = []
  for (const traffic of names) {
    for (const rule of RULES) {
      const earlier = valuesOf(before, traffic, rule)
      if (earlier.length === 0) continue
      const was = spreadOf(earlier)
      const is = spreadOf(valuesOf(after, traffic, rule))
      const noise = NOISE_STANDARD_ERRORS * Math.hypot(was.standardError, is.standardError)
      changes.push({ traffic, figure: rule.figure, before: was.mean, after: is.mean, noise, judgement: judge(rule, was, is, noise) })
    }
  }
  return changes
}
