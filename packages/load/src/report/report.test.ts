import { expect } from 'chai'

import { compareReports } from './compareReports.js'
import { renderReport } from './renderReport.js'
import { summarise } from './summarise.js'

import type { PlannedRequest } from '../arrivals/types.js'
import type { CallOutcome, RequestResult } from '../running/types.js'
import type { Report } from './types.js'

const result = (kind: CallOutcome['kind'], totalMs: number, lateMs = 0): RequestResult => ({
  request: { atMs: 0, traffic: { name: 't' } } as unknown as PlannedRequest,
  outcome: { kind, firstTokenMs: totalMs / 2, totalMs, tokenCount: 4, longestGapMs: 1, resendCount: 1, refusals: ['overloaded'], detail: '' },
  lateMs
})

const report = (...totals: readonly number[]): Report => ({
  experiment: 'e',
  seeds: totals.map((_, index) => index),
  runs: totals.map(totalMs => summarise({ results: [result('answered', totalMs)], partial: false, elapsedMs: 1000 }))
})

describe('report', () => {
  it('includes the tool\'s own delay in the latency', () => {
    const { traffic } = summarise({ results: [result('answered', 100, 400)], partial: false, elapsedMs: 1000 })
    expect(traffic[0]?.total.maxMs).to.equal(500)
    expect(traffic[0]?.firstToken.maxMs).to.equal(450)
  })

  it('counts each kind of outcome', () => {
    const { traffic } = summarise({ results: [result('answered', 1), result('refused', 1), result('unserved', 1), result('broken', 1)], partial: true, elapsedMs: 2000 })
    expect(traffic[0]).to.deep.include({ plannedCount: 4, answeredCount: 1, refusedCount: 1, unservedCount: 1, brokenCount: 1, goodputPerSecond: 0.5 })
    expect(traffic[0]?.refusalsByReason).to.deep.equal({ overloaded: 4 })
  })

  it('leaves out the warm-up except for broken answers', () => {
    const results = [result('answered', 100), result('broken', 100), { ...result('answered', 100), request: { atMs: 900, traffic: { name: 't' } } as unknown as PlannedRequest }]
    const { traffic } = summarise({ results, partial: false, elapsedMs: 1500 }, 500)
    expect(traffic[0]).to.deep.include({ plannedCount: 2, answeredCount: 1, brokenCount: 1, goodputPerSecond: 1 })
  })

  it('compares a change with the noise of repeated runs', () => {
    const judgements = (before: Report, after: Report): readonly string[] =>
      compareReports(before, after).filter(change => change.figure === 'total p99 ms').map(change => change.judgement)
    expect(judgements(report(100, 102, 98), report(200, 198, 202))).to.deep.equal(['worse'])
    expect(judgements(report(200, 198, 202), report(100, 102, 98))).to.deep.equal(['better'])
    expect(judgements(report(100, 300, 50), report(120, 280, 90))).to.deep.equal(['within noise'])
  })

  it('marks an aborted run as partial', () => {
    const run = summarise({ results: [], partial: true, elapsedMs: 10 })
    expect(renderReport({ experiment: 'e', seeds: [1], runs: [run] })).to.contain('partial: aborted')
  })
})
