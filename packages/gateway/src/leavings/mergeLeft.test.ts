import { expect } from 'chai'
import fc from 'fast-check'

import { makeServerEntry } from '../testing/makeServerEntry.js'
import { isFromBefore, mergeLeft } from './mergeLeft.js'

import type { ServerEntry } from '@figmount/fleet'
import type { LeftStart } from './types.js'

const left = (startedAtUnixMs: number | undefined, lastHeartbeat: number | undefined, earlierTimes: readonly number[] = []): LeftStart =>
  ({ serverId: 'a', startedAtUnixMs, lastHeartbeat, earlierTimes })

const entry = (startedAtUnixMs: number, heartbeatNumber: number): ServerEntry => makeServerEntry('a', { startedAtUnixMs, heartbeatNumber })

const drawnLeft = fc.record({
  serverId: fc.constant('a'),
  startedAtUnixMs: fc.integer({ min: 1, max: 3 }),
  lastHeartbeat: fc.option(fc.integer({ min: 1, max: 5 }), { nil: undefined }),
  earlierTimes: fc.constant([])
})

describe('reports on a server that has left', () => {
  it('say the same together in whichever order they come, and twice', () => {
    // Guards against routers that differ for good, as each has heard of a leaving in another order.
    fc.assert(fc.property(fc.array(drawnLeft, { minLength: 1, maxLength: 6 }), fc.array(fc.nat(5), { maxLength: 6 }), (reports, repeats) => {
      const again = repeats.flatMap(index => reports[index] ?? [])
      const merge = (list: readonly LeftStart[]): LeftStart | undefined => list.reduce<LeftStart | undefined>(mergeLeft, undefined)
      expect(merge([...again, ...[...reports].reverse()])).to.deep.equal(merge(reports))
    }), { seed: 61, numRuns: 500 })
  })

  it('hold until a later heartbeat if the entry was removed, and for the whole start if the server has said so', () => {
    expect(mergeLeft(left(1, 4), left(1, 7))).to.deep.equal(left(1, 7))
    expect(mergeLeft(left(1, undefined), left(1, 7))).to.deep.equal(left(1, undefined))
    expect(mergeLeft(left(1, undefined), left(2, 1))).to.deep.equal(left(2, 1))
    expect(mergeLeft(left(2, 1), left(1, undefined))).to.deep.equal(left(2, 1))
    expect(mergeLeft(left(undefined, 1), left(2, 3))).to.deep.equal(left(2, 3))
  })

  it('go by the order in which starts were seen, not by a clock that was set back', () => {
    // Guards against a server that leaves and is listed again, as an earlier start of it has the later time.
    expect(mergeLeft(left(2, 4), left(1, 0, [2]))).to.deep.equal(left(1, 0, [2]))
    expect(mergeLeft(left(1, 0, [2]), left(2, undefined))).to.deep.equal(left(1, 0, [2]))
    expect(mergeLeft(left(1, 0, [2]), left(1, 6, [3]))).to.deep.equal(left(1, 6, [2, 3]))
  })

  it('make entries of before the removal outdated, of that start alone', () => {
    expect(isFromBefore(entry(1, 4), left(1, 4))).to.equal(true)
    expect(isFromBefore(entry(1, 5), left(1, 4))).to.equal(false)
    expect(isFromBefore(entry(2, 1), left(1, 4))).to.equal(false)
    expect(isFromBefore(entry(1, 1), undefined)).to.equal(false)
  })
})
