import { expect } from 'chai'

import { createProposerList } from './createProposerList.js'

import type { InstanceName } from '@figmount/base'

const names = (...texts: string[]): readonly InstanceName[] => texts as readonly string[] as readonly InstanceName[]

describe('list of proposing routers', () => {
  // One of two routers is disconnected from the log while new models are configured. The other router must
  // grant the rights although it is not its turn, because callers of these models are waiting.
  it('excludes routers that cannot propose, but never the own one', () => {
    const cut = new Set<string>()
    const proposers = createProposerList({ own: 'r1' as InstanceName, listed: () => names('r1', 'r2', 'r3'), cannotPropose: peer => cut.has(peer) })
    const all = proposers()
    expect(all).to.deep.equal(['r1', 'r2', 'r3'])
    expect(proposers()).to.equal(all)
    cut.add('r2').add('r1')
    expect(proposers()).to.deep.equal(['r1', 'r3'])
  })
})
