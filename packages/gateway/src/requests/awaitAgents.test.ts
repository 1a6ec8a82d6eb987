import { expect } from 'chai'
import { createVirtualTimers } from '@figmount/base'

import { awaitAgents } from './awaitAgents.js'

import type { GatewayContext, RoutedRequest } from './types.js'

/** Waits at a router that hears from the agents after `heardMs`; returns how long. */
const waitFor = async (heardMs: number, leftMs: number, callerLeavesAfterMs = Infinity): Promise<number> => {
  const timers = createVirtualTimers()
  const startMs = timers.nowMs()
  const leaving = new AbortController()
  const context = { timers, haveAgentsReported: () => timers.nowMs() >= startMs + heardMs } as unknown as GatewayContext
  let endMs: number | undefined
  const waiting = awaitAgents(context, { callerLeft: leaving.signal } as unknown as RoutedRequest, startMs + leftMs).then(() => { endMs = timers.nowMs() })
  while (timers.nowMs() - startMs < leftMs) {
    await new Promise(resolve => { setImmediate(resolve) })
    if (endMs !== undefined) break
    if (timers.nowMs() - startMs >= callerLeavesAfterMs) leaving.abort()
    timers.advance(10)
  }
  await waiting
  return (endMs ?? Infinity) - startMs
}

describe('a request at a router that has just started', () => {
  it('waits until the router has heard from the agents', async () => {
    // Guards against one more engine for each start of a router, by what has killed engines at the others.
    expect(await waitFor(0, 3_000)).to.equal(0)
    expect(await waitFor(190, 3_000)).to.be.within(190, 230)
  })

  it('waits for a tenth of its time at most, and no longer than its caller', async () => {
    expect(await waitFor(Infinity, 3_000)).to.be.within(260, 300)
    expect(await waitFor(Infinity, 3_000, 100)).to.be.within(100, 140)
  })
})
