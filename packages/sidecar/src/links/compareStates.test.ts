import { expect } from 'chai'

import { makeStateForTest } from '../testing/makeStateForTest.js'
import { changedFields, volatileFieldsOf, pickFields, serializeFields } from './compareStates.js'

import type { AgentState } from '@figmount/fleet'

const STATE = makeStateForTest()

const changesTo = (given: Partial<AgentState>): readonly string[] => changedFields(serializeFields(STATE), serializeFields({ ...STATE, ...given }))

describe('changes of an agent\'s state', () => {
  it('leave out small steps of fields that change all the time', () => {
    // The eviction loss decays continuously. When each step was sent, the whole state went to 31 routers ten times a second.
    expect(changesTo({ evictionLoss: 1.1, coldWaitMs: 4_000, roomMs: 120, demandTokensPerS: [7] })).to.deep.equal([])
  })

  it('contain the fields that routers base decisions on', () => {
    expect(changesTo({ isUp: false })).to.deep.equal(['isUp'])
    expect(changesTo({ models: [{ name: 'm', adapters: ['a1'] }] })).to.deep.equal(['models'])
    expect(changesTo({ evictionLoss: 6 })).to.deep.equal(['evictionLoss'])
    expect(changesTo({ loadingModel: 'n', loadingForMs: 3 })).to.have.members(['loadingModel', 'loadingForMs'])
  })

  it('reproduce the state at the receiver', () => {
    const next: AgentState = { ...STATE, models: [], queuedModels: ['n'], evictionLoss: 4, roomMs: 90 }
    const changes = { ...pickFields(next, changedFields(serializeFields(STATE), serializeFields(next))), ...volatileFieldsOf(next) }
    expect({ ...STATE, ...changes }).to.deep.equal(next)
  })
})
