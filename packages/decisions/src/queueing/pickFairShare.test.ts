import { expect } from 'chai'

import { accountDecayed } from './accountDecayed.js'
import { noFairness } from './pickFirstCome.js'
import { pickFairShare } from './pickFairShare.js'

import type { CallerName, ModelId } from '@figmount/base'
import type { FairnessState, WaitingRequest } from './types.js'

const waiting = (id: string, over: Partial<WaitingRequest> = {}): WaitingRequest => ({
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
  ...over
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

describe('order of service', () => {
  it('serves a higher priority first until a low one has waited long', () => {
    const low = waiting('low', { priority: 0 })
    expect(pickFairShare([low, waiting('high', { arrivedAtMs: 20_000 })], noFairness, 20_000)?.id).to.equal('high')
    expect(pickFairShare([low, waiting('high', { arrivedAtMs: 60_000 })], noFairness, 60_000)?.id).to.equal('low')
  })

  it('takes turns between tenants, then callers by share', () => {
    const rival = ['r1', 'r2'].map(id => waiting(id, { tenant: 'rival', caller: 'rival' as CallerName }))
    const hot = Array.from({ length: 4 }, (_, index) => waiting(`h${index}`, { caller: 'hot' as CallerName }))
    expect(serveAll([...hot, ...rival])).to.deep.equal(['h0', 'r1', 'h1', 'r2', 'h2', 'h3'])
    const paid = Array.from({ length: 4 }, (_, index) => waiting(`p${index}`, { caller: 'paid' as CallerName, share: 3 }))
    const firstFour = serveAll([...hot, ...paid]).slice(0, 4)
    expect(firstFour.filter(id => id.startsWith('p')).length).to.equal(3)
  })

  it('serves short before long, but not for ever', () => {
    const long = waiting('long', { expectedTokens: 2_000 })
    expect(pickFairShare([long, waiting('short', { arrivedAtMs: 5_000 })], noFairness, 5_000)?.id).to.equal('short')
    expect(pickFairShare([long, waiting('short', { arrivedAtMs: 59_000 })], noFairness, 59_999)?.id).to.equal('long')
  })

  it('passes over a request whose deadline has passed', () => {
    expect(pickFairShare([waiting('gone', { deadlineAtMs: 10 })], noFairness, 10)).to.equal(undefined)
  })

  it('forgets what was served long ago', () => {
    const old = accountDecayed(noFairness, waiting('a', { tenant: 'old' }), 1_000, 0)
    const fresh = accountDecayed(old, waiting('b', { tenant: 'new' }), 100, 300_000)
    expect(fresh.servedByTenant.get('old')).to.be.below(fresh.servedByTenant.get('new') ?? 0)
    const rescaled = accountDecayed(fresh, waiting('b', { tenant: 'new' }), 100, 3_000_000)
    expect([...rescaled.servedByTenant.keys()]).to.deep.equal(['new'])
  })
})
