import { build } from 'hdr-histogram-js'

import type { RequestResult } from '../running/types.js'
import type { RunResults } from '../running/runPlan.js'
import type { Quantiles, RunFigures, TrafficFigures } from './types.js'

const MS_PER_SECOND = 1000
const MAX_TRACKED_MS = 3_600_000
const SIGNIFICANT_DIGITS = 3

const quantilesOf = (valuesMs: readonly number[]): Quantiles => {
  const histogram = build({ highestTrackableValue: MAX_TRACKED_MS, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS })
  for (const value of valuesMs) histogram.recordValue(Math.min(MAX_TRACKED_MS, Math.round(value)))
  const valueAt = (percentile: number): number => valuesMs.length === 0 ? 0 : histogram.getValueAtPercentile(percentile)
  return { count: valuesMs.length, p50Ms: valueAt(50), p90Ms: valueAt(90), p95Ms: valueAt(95), p99Ms: valueAt(99), maxMs: valueAt(100) }
}

const countByName = (names: readonly string[]): Readonly<Record<string, number>> => {
  const counts: Record<string, number> = {}
  for (const name of names) counts[name] = (counts[name] ?? 0) + 1
  return counts
}

const countKind = (results: readonly RequestResult[], kind: string): number =>
  results.filter(result => result.outcome.kind === kind).length

const computeFigures = (name: string, results: readonly RequestResult[], elapsedMs: number): TrafficFigures => {
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
    refusalsByReason: countByName(results.flatMap(result => result.outcome.refusals))
  }
}

const countBySecond = (results: readonly RequestResult[], elapsedMs: number, kinds: readonly string[]): readonly number[] => {
  const counts: number[] = Array.from({ length: Math.ceil(elapsedMs / MS_PER_SECOND) + 1 }, () => 0)
  for (const { request, outcome, lateMs } of results) {
    if (!kinds.includes(outcome.kind)) continue
    const second = Math.floor((request.atMs + lateMs + outcome.totalMs) / MS_PER_SECOND)
    counts[second] = (counts[second] ?? 0) + 1
  }
  return counts
}

/**
 * Computes the figures of one run. Of the requests planned before `warmUpMs` only broken ones count, since a wrong
 * answer is an error at any time.
 */
export const summarise = ({ results: all, partial, elapsedMs }: RunResults, warmUpMs = 0): RunFigures => {
  const results = all.filter(({ request, outcome }) => request.atMs >= warmUpMs || outcome.kind === 'broken')
  const names = [...new Set(results.map(result => result.request.traffic.name))].sort()
  const traffic = names.map(name =>
    computeFigures(name, results.filter(result => result.request.traffic.name === name), elapsedMs - warmUpMs))
  return {
    partial,
    elapsedMs,
    answersBySecond: countBySecond(results, elapsedMs, ['answered']),
    refusalsBySecond: countBySecond(results, elapsedMs, ['refused', 'unserved', 'broken']),
    traffic
  }
}
