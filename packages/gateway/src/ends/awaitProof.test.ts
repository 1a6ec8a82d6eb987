import { createEventLog, createMetrics, createVirtualTimers } from '@figmount/base'
import { ProbeResult } from '@figmount/decisions'
import { expect } from 'chai'

import { BytesEnd, EndProof } from '../forwarding/framing.js'
import { awaitProof } from './awaitProof.js'

import type { InstanceName } from '@figmount/base'
import type { KnownServer } from '../directory/types.js'
import type { GatewayContext, RoutedRequest } from '../requests/types.js'

const PATIENCE_MS = 2_000

const setUp = ({ end = BytesEnd.Closed as BytesEnd, mayRunElsewhere = false, untilMs = 60_000, probes = [] as readonly ProbeResult[] } = {}) => {
  const timers = createVirtualTimers()
  const ending = new AbortController()
  const left = [...probes]
  let probeCount = 0
  let isDead = false
  const context = {
    timers,
    events: createEventLog({ instance: 'r' as InstanceName, role: 'router', timers }),
    metrics: createMetrics(),
    directory: { isDead: () => isDead },
    lifeChecks: {
      check: async () => {
        probeCount += 1
        return left.shift() ?? ProbeResult.Unclear
      }
    }
  } as unknown as GatewayContext
  const request = { route: { patienceMs: PATIENCE_MS }, untilMs, caller: { requestId: 'r1' } } as unknown as RoutedRequest
  const server = { start: { serverId: 's1' }, entry: { serverId: 's1' } } as unknown as KnownServer
  const proof = awaitProof(context, request, { server, end, mayRunElsewhere, signal: ending.signal })
  let settled: EndProof | 'none' | undefined
  proof.then(result => { settled = result ?? 'none' }).catch(() => {})
  /** Advances in small steps, so that what waits can go on in between. */
  const advance = async (durationMs: number): Promise<void> => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 50) {
      timers.advance(50)
      await new Promise(resolve => { setImmediate(resolve) })
    }
  }
  return { proof, advance, settled: () => settled, probeCount: () => probeCount, end: () => ending.abort(), die: () => { isDead = true } }
}

describe('the proof that an answer is complete', () => {
  it('is its framing, without a check', async () => {
    const { proof, probeCount } = setUp({ end: BytesEnd.Marked })
    expect(await proof).to.equal(EndProof.Framing)
    expect(probeCount()).to.equal(0)
  })

  it('is missing if it broke off, without a check', async () => {
    const { proof, probeCount } = setUp({ end: BytesEnd.BrokenOff })
    expect(await proof).to.equal(undefined)
    expect(probeCount()).to.equal(0)
  })

  it('is a health check after a close in order', async () => {
    expect(await setUp({ probes: [ProbeResult.Alive] }).proof).to.equal(EndProof.HealthCheck)
  })

  it('is missing at once if the server has ended', async () => {
    for (const probe of [ProbeResult.Refused, ProbeResult.OtherServer]) expect(await setUp({ probes: [probe] }).proof).to.equal(undefined)
  })

  it('may come with a later check', async () => {
    const { advance, settled, probeCount } = setUp({ probes: [ProbeResult.Unclear, ProbeResult.Alive] })
    await advance(600)
    expect(settled()).to.equal(EndProof.HealthCheck)
    expect(probeCount()).to.equal(2)
  })

  it('is awaited for as long as the caller can wait', async () => {
    // Guards against a caller that leaves, or whose deadline passes, before it hears that its answer broke off.
    const lone = setUp()
    await lone.advance(PATIENCE_MS - 100)
    expect(lone.settled()).to.equal(undefined)
    await lone.advance(600)
    expect(lone.settled()).to.equal('none')
    const hurried = setUp({ untilMs: 400 })
    await hurried.advance(500)
    expect(hurried.settled()).to.equal('none')
  })

  it('leaves half of that time to another run', async () => {
    const { advance, settled } = setUp({ mayRunElsewhere: true })
    await advance(PATIENCE_MS / 2 - 100)
    expect(settled()).to.equal(undefined)
    await advance(200)
    expect(settled()).to.equal('none')
  })

  it('is given up when the exchange must end', async () => {
    const { proof, end } = setUp()
    end()
    expect(await proof).to.equal(undefined)
  })

  it('is missing once an agent reports the server dead', async () => {
    const { advance, settled, die } = setUp()
    die()
    await advance(600)
    expect(settled()).to.equal('none')
  })
})
