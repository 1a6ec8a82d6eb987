import { expect } from 'chai'
import fc from 'fast-check'

import { appendRecords, EMPTY_LOG, expireRecords, readRecords } from './logState.js'

const payloadOf = (index: number): Uint8Array => Uint8Array.of(index % 256)

describe('log state', () => {
  it('numbers records without gaps', () => {
    const state = appendRecords(appendRecords(EMPTY_LOG, [payloadOf(0), payloadOf(1)], 5), [payloadOf(2)], 6)
    expect(state.records.map(record => [record.offset, record.appendedAtMs])).to.deep.equal([[0, 5], [1, 5], [2, 6]])
    expect(state.headOffset).to.equal(3)
  })

  it('expires by age and by count', () => {
    const full = appendRecords(appendRecords(EMPTY_LOG, [payloadOf(0), payloadOf(1)], 0), [payloadOf(2), payloadOf(3)], 50)
    const expiredByAge = expireRecords(full, { retentionMs: 20, retentionCount: 10 }, 50)
    expect(expiredByAge.oldestOffset).to.equal(2)
    const expiredByCount = expireRecords(full, { retentionMs: 1000, retentionCount: 1 }, 50)
    expect(expiredByCount.records.map(record => record.offset)).to.deep.equal([3])
    const fullyExpired = expireRecords(full, { retentionMs: 20, retentionCount: 10 }, 500)
    expect([fullyExpired.oldestOffset, fullyExpired.headOffset]).to.deep.equal([4, 4])
  })

  it('returns every retained record exactly once for any page size', () => {
    fc.assert(fc.property(fc.nat(40), fc.integer({ min: 1, max: 40 }), fc.integer({ min: 1, max: 7 }), (count, maxCount, pageSize) => {
      const payloads = Array.from({ length: count }, (_, index) => payloadOf(index))
      const state = expireRecords(appendRecords(EMPTY_LOG, payloads, 0), { retentionMs: 1, retentionCount: maxCount }, 0)
      const seen: number[] = []
      for (let from = 0; from < state.headOffset; from = (seen.at(-1) ?? from) + 1) {
        seen.push(...readRecords(state, from, pageSize).map(record => record.offset))
      }
      expect(seen).to.deep.equal(state.records.map(record => record.offset))
    }), { seed: 20, numRuns: 200 })
  })
})
