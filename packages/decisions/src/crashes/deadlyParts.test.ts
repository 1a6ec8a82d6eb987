import { expect } from 'chai'
import fc from 'fast-check'

import { findDeadlyParts } from './findDeadlyParts.js'
import { judgePrompt } from './judgePrompt.js'

import type { DeadlyParts, PartDeathView, PartRunView } from './findDeadlyParts.js'

const NEVER_TRIED = (): number => Infinity

/** A death at `atMs` under runs of these parts. */
const deathWith = (atMs: number, run: PartRunView, ...partIds: readonly string[]): PartDeathView =>
  ({ startKey: `s${atMs}`, atMs, runs: new Map(partIds.map(partId => [partId, run])) })

/** The same, with runs that were sent 50 ms before it. */
const death = (atMs: number, ...partIds: readonly string[]): PartDeathView => deathWith(atMs, { sentMs: atMs - 50, sentAfter: undefined }, ...partIds)

const proofs = (given: Readonly<Record<string, number>> = {}): ReadonlyMap<string, number> => new Map(Object.entries(given))

const blamed = (deaths: readonly PartDeathView[], provenMs = proofs()): ReadonlyArray<readonly string[]> =>
  findDeadlyParts({ deaths, provenMs }).map(({ partIds }) => partIds)

describe('parts of prompts of which servers die', () => {
  it('are found after two deaths, not after one', () => {
    expect(blamed([death(1_000, 'p')])).to.deep.equal([])
    expect(blamed([death(1_000, 'p'), death(2_000, 'p')])).to.deep.equal([['p']])
  })

  it('are not parts on which a server has written since', () => {
    const deaths = [death(1_000, 'common', 'p'), death(2_000, 'common', 'p')]
    expect(blamed(deaths, proofs({ common: 2_100 }))).to.deep.equal([['p']])
    expect(blamed(deaths, proofs({ common: 1_500 }))).to.deep.equal([['p']])
  })

  it('are found together if they have the same deaths', () => {
    expect(blamed([death(1_000, 'a', 'b'), death(2_000, 'a', 'b')])).to.deep.equal([['a', 'b']])
  })

  it('are sooner those on which no server has written before', () => {
    // Guards against refusing all requests that share the first part of a deadly prompt.
    expect(blamed([death(1_000, 'common', 'p'), death(2_000, 'common', 'p')], proofs({ common: 500 }))).to.deep.equal([['p']])
  })

  it('explain their deaths for the parts beside them', () => {
    expect(blamed([death(1_000, 'p', 'x'), death(2_000, 'p', 'x'), death(3_000, 'p')])).to.deep.equal([['p']])
  })

  it('are not those of servers that die at the same moment', () => {
    // Guards against refusing the busiest requests after several servers have lost their power together.
    const together = [0, 1, 2, 3].map(offsetMs => deathWith(1_000 + offsetMs, { sentMs: 900, sentAfter: undefined }, 'busy'))
    expect(blamed(together)).to.deep.equal([])
  })

  it('are found after two deaths of which a router saw the order, whatever the times say', () => {
    const first = death(1_000, 'p')
    expect(blamed([first, deathWith(990, { sentMs: 940, sentAfter: first.startKey }, 'p')])).to.deep.equal([['p']])
    expect(blamed([first, deathWith(990, { sentMs: 940, sentAfter: 'another' }, 'p')])).to.deep.equal([])
  })

  it('are looked for to an end in reports that contradict each other', () => {
    const first = deathWith(1_000, { sentMs: 950, sentAfter: 's1010' }, 'p')
    const second = deathWith(1_010, { sentMs: 960, sentAfter: 's1000' }, 'p')
    expect(blamed([first, second])).to.deep.equal([['p']])
  })

  it('are found though they were harmless once', () => {
    expect(blamed([death(1_000, 'p'), death(2_000, 'p')], proofs({ p: 400 }))).to.deep.equal([['p']])
  })

  const part = fc.constantFrom('s0', 's1', 's2', 's3', 's4')

  it('are found within five deaths among sound parts, in any order of runs, deaths and proofs', () => {
    const prompt = fc.record({ isDeadly: fc.boolean(), parts: fc.uniqueArray(part, { minLength: 1, maxLength: 3 }), gapMs: fc.integer({ min: 60, max: 900 }) })
    fc.assert(fc.property(fc.array(prompt, { minLength: 40, maxLength: 60 }), prompts => {
      const deaths: PartDeathView[] = []
      const provenMs = new Map<string, number>()
      let nowMs = 0
      let beside: readonly string[] = []
      for (const { isDeadly, parts, gapMs } of prompts) {
        nowMs += gapMs
        const partIds = isDeadly ? ['deadly', ...parts] : parts
        const deadlyParts = findDeadlyParts({ deaths, provenMs })
        const verdict = judgePrompt({ partIds, deadlyParts, nowMs, sinceTrialMs: NEVER_TRIED })
        if (verdict.type !== 'run' && verdict.type !== 'trial') continue
        if (isDeadly) deaths.push(death(nowMs + 50, ...partIds, ...beside))
        else for (const partId of parts) provenMs.set(partId, nowMs)
        beside = isDeadly ? [] : parts
      }
      expect(deaths.length).to.be.at.most(5)
    }), { numRuns: 300, seed: 52 })
  })

  it('never include a part on which servers go on writing', () => {
    const runs = fc.array(fc.record({ parts: fc.uniqueArray(part, { minLength: 1, maxLength: 3 }), gapMs: fc.integer({ min: 60, max: 900 }) }), { minLength: 20, maxLength: 40 })
    fc.assert(fc.property(runs, plays => {
      const deaths: PartDeathView[] = []
      const provenMs = new Map<string, number>()
      let nowMs = 0
      for (const { parts, gapMs } of plays) {
        nowMs += gapMs
        deaths.push(death(nowMs, 'deadly', ...parts))
        for (const partId of parts) provenMs.set(partId, nowMs + 10)
        const found = findDeadlyParts({ deaths, provenMs }).flatMap(({ partIds }) => partIds)
        expect(found.filter(partId => partId !== 'deadly')).to.deep.equal([])
      }
    }), { numRuns: 200, seed: 52 })
  })
})

describe('a request by the parts of its prompt', () => {
  const found = (partIds: readonly string[], more: Partial<DeadlyParts> = {}): DeadlyParts => ({ partIds, deathCount: 2, lastDeathMs: 0, wereProven: false, ...more })
  const judge = (partIds: readonly string[], parts: DeadlyParts, nowMs: number, sinceTrialMs = Infinity): string =>
    judgePrompt({ partIds, deadlyParts: [parts], nowMs, sinceTrialMs: () => sinceTrialMs }).type

  it('is refused with a deadly part, until a trial after a pause that grows', () => {
    expect(judge(['x', 'p'], found(['p']), 19_000)).to.equal('deadly')
    expect(judge(['x', 'p'], found(['p']), 21_000)).to.equal('trial')
    expect(judge(['x', 'p'], found(['p'], { deathCount: 3 }), 119_000)).to.equal('deadly')
    expect(judge(['x', 'p'], found(['p'], { deathCount: 3 }), 121_000)).to.equal('trial')
  })

  it('is run without one', () => {
    expect(judge(['x', 'y'], found(['p']), 100)).to.equal('run')
  })

  it('is tried, one a second, with some of the parts of which one is deadly', () => {
    expect(judge(['a', 'x'], found(['a', 'b', 'c']), 100)).to.equal('trial')
    expect(judge(['a', 'x'], found(['a', 'b', 'c']), 100, 400)).to.equal('wait')
    expect(judge(['a', 'b'], found(['a', 'b', 'c']), 100)).to.equal('wait')
    expect(judge(['a', 'b'], found(['a', 'b', 'c']), 1_100)).to.equal('trial')
    expect(judge(['a', 'b', 'c'], found(['a', 'b', 'c']), 1_100)).to.equal('deadly')
  })

  it('waits for a short pause with parts on which servers have written before', () => {
    expect(judge(['a'], found(['a'], { wereProven: true }), 1_900)).to.equal('wait')
    expect(judge(['a'], found(['a'], { wereProven: true }), 2_100)).to.equal('trial')
  })
})
