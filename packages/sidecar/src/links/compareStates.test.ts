import { expect } from 'chai'

import { makeStateForTest } from '../testing/makeStateForTest.js'
import { changedFields, figuresOf, pickFields, textsOf } from './compareStates.js'

import type { AgentState } from '@figmount/fleet'

const STATE = makeStateForTest()

const changesTo = (given: Partial<AgentState>): readonly string[] => changedFields(textsOf(STATE), textsOf({ ...STATE, ...given }))

describe('changes of an agent\'s state', () => {
  it('leave out figures that drift', () => {
    // What an eviction costs decays with each moment. Told each time, the whole state went to 31 routers ten times a second.
    expect(changesTo({ evictionLoss: 1.1, coldWaitMs: 4_000, roomMs: 120, demandTokensPerS: [7] })).to.deep.equal([])
  })

  it('hold what a router decides by', () => {
    expect(changesTo({ isUp: false })).to.deep.equal(['isUp'])
    expect(changesTo({ models: [{ name: 'm', adapters: ['a1'] }] })).to.deep.equal(['models'])
    expect(changesTo({ evictionLoss: 6 })).to.deep.equal(['evictionLoss'])
    expect(changesTo({ loadingModel: 'n', loadingForMs: 3 })).to.have.members(['loadingModel', 'loadingForMs'])
  })

  it('make the same state at the other end', () => {
    const next: AgentState = { ...STATE, models: [], queuedModels: ['n'], evictionLoss: 4, roomMs: 90 }
    const changes = { ...pickFields(next, changedFields(textsOf(STATE), textsOf(next))), ...figuresOf(next) }
    expect({ ...STATE, ...changes }).to.deep.equal(next)
  })
})
