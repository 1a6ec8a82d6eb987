import { expect } from 'chai'

import { UNUSED_MS, UNWANTED_MS } from './constants.js'
import { makeOwnLease, mayBegin, renewedLease, reviewLease } from './ownLease.js'

import type { OwnLease } from './ownLease.js'
import type { LeaseNeeds } from './types.js'

const LOAD_MS = 10_000

const WANT = { modelName: 'm', waitingCount: 1, coldLoadMs: LOAD_MS }

const leaseWith = (given: Partial<OwnLease> = {}): OwnLease => ({ ...makeOwnLease('k', 0, WANT, 1, 1, 0), ...given })

const needsWith = (given: Partial<LeaseNeeds> = {}): LeaseNeeds => ({ wants: [WANT], loadingModel: '', isMakingRoom: false, isHeld: () => false, ...given })

describe('own lease', () => {
  it('lives for as long as its load is expected to take', () => {
    expect(leaseWith().lifetimeMs).to.be.within(LOAD_MS, 1.2 * LOAD_MS)
    expect(makeOwnLease('k', 0, WANT, 3, 2, 0).lifetimeMs).to.be.within(1.5 * LOAD_MS, 1.8 * LOAD_MS)
  })

  it('is kept for longer while the engine makes room', () => {
    // Guards against a model that is never loaded because the streams of another one on its engine outlast the lease.
    expect(reviewLease(leaseWith(), needsWith(), UNUSED_MS + 1).type).to.equal('unused')
    expect(reviewLease(leaseWith(), needsWith({ isMakingRoom: true }), UNUSED_MS + 1).type).to.equal('keep')
    expect(reviewLease(leaseWith(), needsWith({ isMakingRoom: true }), 2 * LOAD_MS).type).to.equal('unused')
  })

  it('is given back when nobody wants the model any more', () => {
    expect(reviewLease(leaseWith(), needsWith({ wants: [] }), UNWANTED_MS - 1).type).to.equal('keep')
    expect(reviewLease(leaseWith(), needsWith({ wants: [] }), UNWANTED_MS + 1).type).to.equal('unwanted')
  })

  it('ends with its load', () => {
    const begun = leaseWith({ begunMs: 100 })
    expect(reviewLease(begun, needsWith({ loadingModel: 'm' }), LOAD_MS).type).to.equal('keep')
    expect(reviewLease(begun, needsWith({ isHeld: () => true }), LOAD_MS).type).to.equal('loaded')
    expect(reviewLease(begun, needsWith(), 5_000).type).to.equal('lost')
  })

  it('lets no load begin after it has expired', () => {
    // Guards against a load that begins beside another one after the agent stood still.
    expect(mayBegin(leaseWith(), 1_000)).to.equal(true)
    expect(mayBegin(leaseWith(), 2 * LOAD_MS)).to.equal(false)
    expect(mayBegin(leaseWith({ begunMs: 100 }), 1_000)).to.equal(false)
  })

  it('is renewed shortly before it expires, while its load goes on', () => {
    expect(renewedLease(leaseWith({ begunMs: 100 }), LOAD_MS / 2)).to.equal(undefined)
    expect(renewedLease(leaseWith(), LOAD_MS)).to.equal(undefined)
    expect(renewedLease(leaseWith({ begunMs: 100 }), LOAD_MS)?.lifetimeMs).to.be.above(1.2 * LOAD_MS)
  })

  it('is not renewed at once for a short load', () => {
    // Guards against a place at the weight store that stays taken for longer than the lost load would have taken.
    const short = { ...makeOwnLease('k', 0, { ...WANT, coldLoadMs: 1_500 }, 1, 1, 0), begunMs: 10 }
    expect(renewedLease(short, 500)).to.equal(undefined)
    expect(renewedLease(short, 1_400)).not.to.equal(undefined)
  })
})
