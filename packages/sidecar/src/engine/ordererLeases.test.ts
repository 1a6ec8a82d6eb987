import { expect } from 'chai'

import { reportOf, setUpOrderer } from '../testing/setUpOrderer.js'

import type { LeaseNeeds, LoadLeases } from '../leases/types.js'

describe('orderer with leases', () => {
  it('loads from the weight store only what it has a lease for, also just after a restart', async () => {
    // Guards against agents that all begin a load at the same moment, each of which slows down the others.
    let leased = ''
    const uses: LeaseNeeds[] = []
    const leases: LoadLeases = { review: use => { uses.push(use) }, leasedModel: () => leased, stop: () => {} }
    const { orderer, sent, want, pass } = setUpOrderer([], false, leases)
    orderer.take(reportOf())
    want('b')
    orderer.review()
    await pass(6_000)
    expect(sent).to.deep.equal([])
    expect(uses.at(-1)?.wants).to.deep.equal([{ modelName: 'b', waitingCount: 1, coldLoadMs: 6_000 }])
    expect(orderer.nextColdModel()).to.equal('b')
    leased = 'b'
    orderer.review()
    await pass(50)
    expect(sent.map(order => order.modelName)).to.deep.equal(['b'])
  })

  it('asks for no lease while it loads, and reports the load until it ends', async () => {
    const uses: LeaseNeeds[] = []
    const leases: LoadLeases = { review: use => { uses.push(use) }, leasedModel: () => 'b', stop: () => {} }
    const { orderer, want, pass } = setUpOrderer([], true, leases)
    orderer.take(reportOf())
    want('b')
    want('c')
    orderer.review()
    await pass(50)
    orderer.take(reportOf({ isBusy: true, orderCount: 1 }))
    orderer.review()
    await pass(50)
    expect(uses.at(-1)).to.deep.include({ wants: [], loadingModel: 'b' })
    orderer.take(reportOf({ models: [{ name: 'b', adapters: [] }], onDisk: ['a', 'b'], orderCount: 1 }))
    orderer.review()
    await pass(50)
    expect(uses.at(-1)).to.deep.include({ loadingModel: '' })
    expect(uses.at(-1)?.isHeld('b')).to.equal(true)
  })

  it('goes on to report a load when a report that was read before the order comes after its answer', async () => {
    // Guards against a lease that is given back while its load goes on, so that another engine loads the same model beside it.
    const uses: LeaseNeeds[] = []
    const leases: LoadLeases = { review: use => { uses.push(use) }, leasedModel: () => 'b', stop: () => {} }
    const { orderer, want, pass } = setUpOrderer([], true, leases)
    orderer.take(reportOf())
    want('b')
    orderer.review()
    await pass(50)
    orderer.take(reportOf())
    expect(orderer.currentLoad()?.modelName).to.equal('b')
    orderer.take(reportOf({ isBusy: true, orderCount: 1 }))
    orderer.review()
    await pass(50)
    expect(uses.at(-1)).to.deep.include({ wants: [], loadingModel: 'b' })
  })

  it('goes on to report a load when a report that was read before the order comes before its answer', async () => {
    const { orderer, want, pass } = setUpOrderer([], true, { review: () => {}, leasedModel: () => 'b', stop: () => {} })
    orderer.take(reportOf())
    want('b')
    orderer.review()
    // The order is sent once connections have been read.
    await Promise.resolve()
    orderer.take(reportOf())
    expect(orderer.currentLoad()?.modelName).to.equal('b')
    await pass(50)
    orderer.take(reportOf())
    orderer.take(reportOf({ isBusy: true, orderCount: 1 }))
    expect(orderer.currentLoad()?.beganMs).to.be.above(0)
  })
})
