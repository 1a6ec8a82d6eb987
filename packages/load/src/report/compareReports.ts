import type { FigureChange, Report, TrafficFigures } from './types.js'

/** Half width of the noise interval in standard errors; covers about 95% for a handful of runs. */
const NOISE_STANDARD_ERRORS = 2.5
/** Noise assumed for a single run, as a share of the figure. */
const SINGLE_RUN_NOISE = 0.15

interface ComparedFigure {
  readonly figure: string
  readonly read: (figures: TrafficFigures) => number
  readonly isHigherBetter: boolean
}

const COMPARED_FIGURES: readonly ComparedFigure[] = [
  { figure: 'goodput a second', read: figures => figures.goodputPerSecond, isHigherBetter: true },
  { figure: 'first token p50 ms', read: figures => figures.firstToken.p50Ms, isHigherBetter: false },
  { figure: 'first token p95 ms', read: figures => figures.firstToken.p95Ms, isHigherBetter: false },
  { figure: 'first token p99 ms', read: figures => figures.firstToken.p99Ms, isHigherBetter: false },
  { figure: 'total p99 ms', read: figures => figures.total.p99Ms, isHigherBetter: false },
  { figure: 'unserved', read: figures => figures.unservedCount, isHigherBetter: false },
  { figure: 'broken', read: figures => figures.brokenCount, isHigherBetter: false }
]

interface Spread {
  readonly mean: number
  readonly standardError: number
}

const estimateSpread = (values: readonly number[]): Spread => {
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length
  if (values.length < 2) return { mean, standardError: mean * SINGLE_RUN_NOISE / NOISE_STANDARD_ERRORS }
  const variance = values.reduce((sum, value) => sum + (value - mean) ** 2, 0) / (values.length - 1)
  return { mean, standardError: Math.sqrt(variance / values.length) }
}

const valuesOf = (report: Report, traffic: string, figure: ComparedFigure): readonly number[] =>
  report.runs.flatMap(run => run.traffic.filter(figures => figures.name === traffic).map(figure.read))

const classifyChange = (figure: ComparedFigure, before: Spread, after: Spread, noise: number): FigureChange['judgement'] => {
  const difference = after.mean - before.mean
  if (Math.abs(difference) <= noise) return 'within noise'
  return (difference > 0) === figure.isHigherBetter ? 'better' : 'worse'
}

/** Compares a report with an earlier one of the same experiment: each figure is better, worse or within noise. */
export const compareReports = (before: Report, after: Report): readonly FigureChange[] => {
  const names = [...new Set(after.runs.flatMap(run => run.traffic.map(figures => figures.name)))].sort()
  const changes: FigureChange[] = []
  for (const traffic of names) {
    for (const compared of COMPARED_FIGURES) {
      const beforeValues = valuesOf(before, traffic, compared)
      if (beforeValues.length === 0) continue
      const beforeSpread = estimateSpread(beforeValues)
      const afterSpread = estimateSpread(valuesOf(after, traffic, compared))
      const noise = NOISE_STANDARD_ERRORS * Math.hypot(beforeSpread.standardError, afterSpread.standardError)
      changes.push({ traffic, figure: compared.figure, before: beforeSpread.mean, after: afterSpread.mean, noise, judgement: classifyChange(compared, beforeSpread, afterSpread, noise) })
    }
  }
  return changes
}
