import { expect } from 'chai'

import { judgeTakeUp } from './judgeTakeUp.js'

import type { TakeUp, TakeUpKnowledge } from './judgeTakeUp.js'

const IN_STEP: TakeUpKnowledge = {
  found: { type: 'unknown', rememberedForMs: 60_000 },
  versions: new Set(['v1']),
  wereSeveral: false,
  knowsVersions: true,
  lone: undefined,
  listAgeMs: 800,
  hasStoodStill: false,
  outOfStepAgoMs: Infinity,
  isListFresh: undefined
}

const judge = (changes: Partial<TakeUpKnowledge>): string => {
  const takeUp: TakeUp = judgeTakeUp({ ...IN_STEP, ...changes })
  return takeUp.type === 'goesOn' ? takeUp.softwareVersion : takeUp.type
}

const UNANSWERED = { type: 'unknown', rememberedForMs: 0 } as const
const KNOWN = { type: 'known', softwareVersion: 'v2' } as const

describe('the judgement on a stream that is taken up', () => {
  it('follows who knows the origin, whatever the list says', () => {
    // Guards against a list of one version that is older than the stream.
    expect(judge({ found: KNOWN, isListFresh: false })).to.equal('v2')
    expect(judge({ found: KNOWN, versions: new Set(['v1', 'v2']), hasStoodStill: true })).to.equal('v2')
  })

  it('has the list read first where it lacks the version that is known', () => {
    // Guards against a refusal for want of servers that the list would show.
    expect(judge({ found: KNOWN })).to.equal('listNeeded')
  })

  it('goes on at the one version of a list that is in step while agents were told nothing', () => {
    // Guards against a call to the store for each stream that is taken up.
    expect(judge({})).to.equal('v1')
  })

  it('needs a list that is younger than the request where the router may be out of step', () => {
    // Guards against trust in a list by a router that stood still, was cut off, or whose agents do not answer or have just started.
    for (const changes of [{ hasStoodStill: true }, { listAgeMs: 5_000 }, { found: UNANSWERED }, { found: undefined }, { found: { type: 'unknown', rememberedForMs: 3_500 } }] as const) {
      expect(judge(changes)).to.equal('listNeeded')
      expect(judge({ ...changes, isListFresh: true })).to.equal('v1')
    }
  })

  it('is refused after a time out of step unless the agents remember all of it, also with a fresh list', () => {
    // Guards against a version that came, began streams and went while the router slept.
    for (const found of [UNANSWERED, undefined, { type: 'unknown', rememberedForMs: 12_999 }] as const) {
      expect(judge({ found, outOfStepAgoMs: 10_000 })).to.equal('listNeeded')
      expect(judge({ found, outOfStepAgoMs: 10_000, isListFresh: true })).to.equal('refused')
    }
    expect(judge({ outOfStepAgoMs: 10_000, isListFresh: true })).to.equal('v1')
    expect(judge({ found: KNOWN, outOfStepAgoMs: 10_000, isListFresh: true })).to.equal('v2')
  })

  it('is refused where the list can not be read, unless the agents remember for longer than it is old', () => {
    // Guards against a guess by a router that is cut off, and against a refusal while the store alone is away.
    for (const changes of [{ hasStoodStill: true }, { found: UNANSWERED }, { found: undefined }, { listAgeMs: 110_000, found: { type: 'unknown', rememberedForMs: 900_000 } }] as const) {
      expect(judge({ ...changes, isListFresh: false })).to.equal('refused')
    }
    expect(judge({ listAgeMs: 20_000, isListFresh: false })).to.equal('v1')
    expect(judge({ listAgeMs: 20_000, isListFresh: false, found: { type: 'unknown', rememberedForMs: 22_999 } })).to.equal('refused')
  })

  it('does not go on at the version that was alone before where the others are known only since the agents were asked', () => {
    // Guards against an answer of agents that were not told, as the list did not show those that were.
    const lone = { softwareVersion: 'v1', othersForMs: 3_000 }
    const versions = new Set(['v1', 'v2'])
    expect(judge({ lone, versions, wereSeveral: true })).to.equal('v1')
    expect(judge({ lone, versions })).to.equal('refused')
    expect(judge({ lone, versions, isListFresh: true })).to.equal('refused')
  })

  it('is refused while no version is known, or not which served before', () => {
    // Guards against a server that is listed between the judgement and the choice.
    expect(judge({ versions: new Set() })).to.equal('refused')
    expect(judge({ knowsVersions: false, isListFresh: true })).to.equal('refused')
  })
})
