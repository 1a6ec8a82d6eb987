import { expect } from 'chai'

import { backOffByNeed } from './backOff.js'
import { orderByNeed } from './orderByNeed.js'

import type { ModelId } from '@figmount/base'
import type { WaitingLoad } from './types.js'

const load = (model: string, overrides: Partial<WaitingLoad> = {}): WaitingLoad => ({
  model: model as ModelId,
  waitingCount: 1,
  highestPriority: 5,
  earliestDeadlineMs: 1e9,
  askedAtMs: 0,
  checkpointMb: 10_000,
  tier: 'remote',
  ...overrides
})

const order = (loads: readonly WaitingLoad[], nowMs = 0): readonly string[] => orderByNeed(loads, nowMs).map(one => one.model)

describe('order of loads', () => {
  it('prefers many callers, high priority and small size', () => {
    expect(order([load('one'), load('many', { waitingCount: 50 })])).to.deep.equal(['many', 'one'])
    expect(order([load('low', { highestPriority: 0 }), load('high')])).to.deep.equal(['high', 'low'])
    expect(order([load('large'), load('small', { checkpointMb: 1_000 })])).to.deep.equal(['small', 'large'])
  })

  it('does not starve a single caller', () => {
    const fresh = load('many', { waitingCount: 10, askedAtMs: 200_000 })
    expect(order([fresh, load('one')], 200_000)).to.deep.equal(['one', 'many'])
  })

  it('puts loads last whose callers\' deadlines have passed', () => {
    expect(order([load('gone', { earliestDeadlineMs: 5, highestPriority: 9 }), load('alive')], 10)).to.deep.equal(['alive', 'gone'])
  })

  it('retries sooner for more callers', () => {
    const view = { waitingCount: 1, highestPriority: 0, refusedCount: 3, waitedMs: 0, loadMs: 2_000 }
    const half = (): number => 0.5
    expect(backOffByNeed({ ...view, waitingCount: 20 }, half)).to.be.below(backOffByNeed(view, half) / 10)
  })
})
