import { build } from 'hdr-histogram-js'

import type { RequestResult } from '../running/types.js'
import type { RunResults } from '../running/runPlan.js'
import type { Quantiles, RunFigures, TrafficFigures } from './types.js'

const MS_PER_SECOND = 1000
const HIGHEST_MS = 3_600_000
const SIGNIFICANT_DIGITS = 3

const quantilesOf = (valuesMs: readonly number[]): Quantiles => {
  const histogram = build({ highestTrackableValue: HIGHEST_MS, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS })
  for (const value of valuesMs) histogram.recordValue(Math.min(HIGHEST_MS, Math.round(value)))
  const at = (percentile: number): number => valuesMs.length === 0 ? 0 : histogram.getValueAtPercentile(percentile)
  return { count: valuesMs.length, p50Ms: at(50), p90Ms: at(90), p95Ms: at(95), p99Ms: at(99), maxMs: at(100) }
}

const tally = (names: readonly string[]): Readonly<Record<string, number>> => {
  const counts: Record<string, number> = {}
  for (const name of names) counts[name] = (counts[name] ?? 0) + 1
  return counts
}

const countKind = (results: readonly RequestResult[], kind: string): number =>
  results.filter(result => result.outcome.kind === kind).length

const figuresOf = (name: string, results: readonly RequestResult[], elapsedMs: number): TrafficFigures => {
  const answered = results.filter(result => result.outcome.kind === 'answered')
  const tokenCount = answered.reduce((sum, result) => sum + result.outcome.tokenCount, 0)
  const firstTokens = answered.flatMap(({ outcome, lateMs }) => outcome.firstTokenMs === undefined ? [] : [outcome.firstTokenMs + lateMs])
  return {
    name,
    plannedCount: results.length,
    answeredCount: answered.length,
    refusedCount: countKind(results, 'refused'),
    unservedCount: countKind(results, 'unserved'),
    brokenCount: countKind(results, 'broken'),
    resendCount: results.reduce((sum, result) => sum + result.outcome.resendCount, 0),
    goodputPerSecond: answered.length / elapsedMs * MS_PER_SECOND,
    tokensPerSecond: tokenCount / elapsedMs * MS_PER_SECOND,
    firstToken: quantilesOf(firstTokens),
    total: quantilesOf(answered.map(({ outcome, lateMs }) => outcome.totalMs + lateMs)),
    longestGap: quantilesOf(answered.map(({ outcome }) => outcome.longestGapMs)),
    refusalsByReason: tally(results.flatMap(result => result.outcome.refusals))
  }
}

const bySecond = (results: readonly RequestResult[], elapsedMs: number, kinds: readonly string[]): readonly number[] => {
  const counts: number[] = Array.from({ length: Math.ceil(elapsedMs / MS_PER_SECOND) + 1 }, () => 0)
  for (const { request, outcome, lateMs } of results) {
    if (!kinds.includes(outcome.kind)) continue
    const second = Math.floor((request.atMs + lateMs + outcome.totalMs) / MS_PER_SECOND)
    counts[second] = (counts[second] ?? 0) + 1
  }
  return counts
}

/**
 * Works out the figures of one run. Requests planned before `warmUpMs` count only where they were
 * broken: a wrong answer is one at any time.
 */
export const summarise = ({ results: all, partial, elapsedMs }: RunResults, warmUpMs = 0): RunFigures => {
  const results = all.filter(({ request, outcome }) => request.atMs >= warmUpMs || outcome.kind === 'broken')
  const names = [...new Set(results.map(result => result.request.traffic.name))].sort()
  const traffic = names.map(name =>
    figuresOf(name, results.filter(result => result.request.traffic.name === name), elapsedMs - warmUpMs))
  return {
    partial,
    elapsedMs,
    answersBySecond: bySecond(results, elapsedMs, ['answered']),
    refusalsBySecond: bySecond(results, elapsedMs, ['refused', 'unserved', 'broken']),
    traffic
  }
}
