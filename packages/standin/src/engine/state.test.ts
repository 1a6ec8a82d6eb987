import { expect } from 'chai'
import fc from 'fast-check'

import { findTier, cacheCheckpoint, createTiers } from './checkpointTiers.js'
import { removeResident, emptyMemory, fits, setAdapter, setResident, usedMb } from './memoryState.js'
import { removeModelPrefixes, EMPTY_CACHE, hasPrefix, listReportableChanges, touchPrefix } from './prefixCache.js'
import { answerLength, expectedTokens } from './tokens.js'

import type { ResidentEntry } from './types.js'

const entry = (model: string, memoryMb: number): ResidentEntry =>
  ({ model, version: 'v1', fence: 1, memoryMb, state: 'ready', adapters: new Map() })

describe('engine state', () => {
  it('counts the memory of models and adapters', () => {
    const memory = setResident(setResident(emptyMemory(100), setAdapter(entry('a', 40), 'x', 5)), entry('b', 30))
    expect(usedMb(memory)).to.equal(75)
    expect(fits(memory, 25)).to.equal(true)
    expect(fits(memory, 26)).to.equal(false)
    expect(usedMb(removeResident(memory, 'a'))).to.equal(30)
  })

  it('evicts the least recently used checkpoints beyond the capacity', () => {
    let tiers = createTiers([], ['old@v1'])
    tiers = cacheCheckpoint(tiers, 'a@v1', 60, 100, 1000)
    tiers = cacheCheckpoint(tiers, 'b@v1', 60, 100, 1000)
    expect(findTier(tiers, 'a@v1')).to.equal('disk')
    expect(findTier(tiers, 'b@v1')).to.equal('memory')
    expect(findTier(tiers, 'old@v1')).to.equal('disk')
    expect(findTier(tiers, 'c@v1')).to.equal('remote')
  })

  it('reports cache changes with a delay and with gaps', () => {
    let cache = EMPTY_CACHE
    for (const [index, hint] of ['p', 'q', 'r'].entries()) cache = touchPrefix(cache, 'm', hint, 2, index * 10)
    expect(hasPrefix(cache, 'm', 'p')).to.equal(false)
    expect(cache.changes.map(change => [change.prefixHint, change.present]))
      .to.deep.equal([['p', true], ['q', true], ['r', true], ['p', false]])
    expect(listReportableChanges(cache, 0, 5, 0, 15).map(change => change.sequence)).to.deep.equal([1, 2])
    expect(listReportableChanges(cache, 1, 0, 3, 100).map(change => change.sequence)).to.deep.equal([2, 4])
    expect(removeModelPrefixes(cache, 'm', 50).entries.size).to.equal(0)
  })

  it('generates different tokens for each model, version, adapter and prompt', () => {
    const text = fc.string({ maxLength: 8 })
    const source = fc.record({ model: text, version: text, adapter: text, prompt: text })
    fc.assert(fc.property(source, source, (one, other) => {
      const areSourcesEqual = JSON.stringify(one) === JSON.stringify(other)
      const areTokensEqual = expectedTokens(one, 3).join('') === expectedTokens(other, 3).join('')
      expect(areTokensEqual).to.equal(areSourcesEqual)
    }), { seed: 21, numRuns: 300 })
  })

  it('ends an answer at the length that the prompt requests', () => {
    expect(answerLength('say length=3', 10)).to.deep.equal({ tokenCount: 3, stops: true })
    expect(answerLength('say length=30', 10)).to.deep.equal({ tokenCount: 10, stops: false })
  })
})
