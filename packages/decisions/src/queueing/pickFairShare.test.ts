import { expect } from 'chai'

import { accountDecayed } from './accountDecayed.js'
import { allAhead, fairAhead } from './estimateAhead.js'
import { limitLong } from './limitLong.js'
import { noFairness } from './pickFirstCome.js'
import { pickFairShare } from './pickFairShare.js'
import { shedHopeless } from './shedHopeless.js'

import type { CallerName, ModelId } from '@figmount/base'
import type { FairnessState, WaitingRequest } from './types.js'

const waiting = (id: string, overrides: Partial<WaitingRequest> = {}): WaitingRequest => ({
  id,
  model: 's/m' as ModelId,
  adapter: '',
  caller: 'c' as CallerName,
  tenant: 't',
  share: 1,
  priority: 5,
  expectedTokens: 100,
  arrivedAtMs: 0,
  deadlineAtMs: 600_000,
  ...overrides
})

const serveAll = (requests: readonly WaitingRequest[], nowMs = 0): readonly string[] => {
  let left = requests
  let fairness: FairnessState = noFairness
  const order: string[] = []
  for (let picked = pickFairShare(left, fairness, nowMs); picked; picked = pickFairShare(left, fairness, nowMs)) {
    const { id } = picked
    order.push(id)
    fairness = accountDecayed(fairness, picked, picked.expectedTokens, nowMs)
    left = left.filter(one => one.id !== id)
  }
  return order
}

describe('queue order', () => {
  it('serves priorities in proportion to their weights, including the low one', () => {
    const high = Array.from({ length: 40 }, (_, index) => waiting(`high${index}`, { priority: 8, arrivedAtMs: 10 }))
    const low = Array.from({ length: 5 }, (_, index) => waiting(`low${index}`, { priority: 5 }))
    const order = serveAll([...low, ...high], 20)
    expect(order[0]).to.equal('high0')
    expect(order.slice(0, 27).filter(id => id.startsWith('low')).length).to.equal(3)
  })

  it('counts only requests as ahead that are served before', () => {
    const hot = Array.from({ length: 50 }, (_, index) => waiting(`h${index}`, { caller: 'hot' as CallerName, tenant: 'rival' }))
    const review = waiting('review', { priority: 2, expectedTokens: 5_000 })
    expect(allAhead([...hot, review], waiting('new'), noFairness, 0)).to.equal(10_000)
    expect(fairAhead([...hot, review], waiting('new'), noFairness, 0)).to.equal(0)
    expect(fairAhead([...hot, review, waiting('own')], waiting('new'), noFairness, 0)).to.equal(200 + 200 / 8)
    expect(fairAhead(hot, waiting('new', { caller: 'hot' as CallerName, tenant: 'rival' }), noFairness, 0)).to.equal(5_000)
    const served = accountDecayed(noFairness, waiting('own'), 1_000, 0)
    expect(fairAhead(hot, waiting('new'), served, 0)).to.equal(1_000)
  })

  it('alternates between tenants, then between callers by share', () => {
    const work = { expectedTokens: 1_500 }
    const rival = ['r1', 'r2'].map(id => waiting(id, { ...work, tenant: 'rival', caller: 'rival' as CallerName }))
    const hot = Array.from({ length: 4 }, (_, index) => waiting(`h${index}`, { ...work, caller: 'hot' as CallerName }))
    expect(serveAll([...hot, ...rival])).to.deep.equal(['h0', 'r1', 'h1', 'r2', 'h2', 'h3'])
    const paid = Array.from({ length: 4 }, (_, index) => waiting(`p${index}`, { ...work, caller: 'paid' as CallerName, share: 3 }))
    const firstFour = serveAll([...hot, ...paid]).slice(0, 4)
    expect(firstFour.filter(id => id.startsWith('p')).length).to.equal(3)
  })

  it('serves a caller with one request after one short request of a caller with many', () => {
    const hot = Array.from({ length: 75 }, (_, index) => waiting(`h${index}`, { caller: 'hot' as CallerName, expectedTokens: 20 }))
    const quiet = waiting('quiet', { caller: 'quiet' as CallerName, arrivedAtMs: 500, expectedTokens: 20 })
    expect(serveAll([...hot, quiet], 500).indexOf('quiet')).to.equal(1)
  })

  it('serves short requests before long ones without starving the long ones', () => {
    const long = waiting('long', { expectedTokens: 2_000 })
    expect(pickFairShare([long, waiting('short', { arrivedAtMs: 5_000 })], noFairness, 5_000)?.id).to.equal('short')
    expect(pickFairShare([long, waiting('short', { arrivedAtMs: 59_000 })], noFairness, 59_999)?.id).to.equal('long')
  })

  it('reserves slots for short requests', () => {
    const long = waiting('long', { expectedTokens: 2_000 })
    const view = { batchSlots: 8, meanTokens: 100, running: Array.from({ length: 6 }, () => long) }
    expect(limitLong([long, waiting('short')], view).map(one => one.id)).to.deep.equal(['short'])
    expect(limitLong([long], { ...view, running: [long] }).length).to.equal(1)
  })

  it('starts long requests in a batch of one', () => {
    const long = waiting('long', { expectedTokens: 2_000 })
    expect(limitLong([long], { batchSlots: 1, meanTokens: 100, running: [] })).to.deep.equal([long])
  })

  it('sheds requests that cannot end before their deadline', () => {
    const queue = [waiting('late', { deadlineAtMs: 2_900 }), waiting('well', { deadlineAtMs: 3_100 })]
    expect(shedHopeless(queue, 30, 0).map(one => one.id)).to.deep.equal(['late'])
  })

  it('skips a request whose deadline has passed', () => {
    expect(pickFairShare([waiting('gone', { deadlineAtMs: 10 })], noFairness, 10)).to.equal(undefined)
  })

  it('discards tokens that were served long ago', () => {
    const old = accountDecayed(noFairness, waiting('a', { tenant: 'old' }), 1_000, 0)
    const fresh = accountDecayed(old, waiting('b', { tenant: 'new' }), 100, 300_000)
    expect(fresh.servedByTenant.get('old')).to.be.below(fresh.servedByTenant.get('new') ?? 0)
    const rescaled = accountDecayed(fresh, waiting('b', { tenant: 'new' }), 100, 3_000_000)
    expect([...rescaled.servedByTenant.keys()]).to.deep.equal(['new'])
  })
})
