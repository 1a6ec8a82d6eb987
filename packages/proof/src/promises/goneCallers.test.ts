import { expect } from 'chai'

import { callOnce } from '../rig/callOnce.js'
import { MODEL, runCountsOf, SERVICE, startSmallSite, warmUp } from '../rig/smallSite.js'

import type { Site } from '../rig/createSite.js'

const CALLER_COUNT = 20
const STAY_MS = 300
const STANDSTILL_MS = 800

const sleep = async (durationMs: number): Promise<void> => await new Promise(resolve => { setTimeout(resolve, durationMs) })

describe('no engine works for callers that left', () => {
  let site: Site
  afterEach(async () => await site.close())

  it('while their router stood still', async () => {
    // Guards against attempts that a router starts before it reads, behind their requests, that their callers have left.
    site = await startSmallSite('gone-callers')
    await warmUp(site)
    const router = site.router('r1')
    router.pause()
    const calls = Array.from({ length: CALLER_COUNT }, async (_, index) =>
      await callOnce(router.address, { service: SERVICE, model: MODEL, requestKey: `gone-${index}`, prompt: `gone ${index}` }, AbortSignal.timeout(STAY_MS)))
    await Promise.all(calls)
    await sleep(STANDSTILL_MS - STAY_MS)
    router.resume()
    await sleep(STANDSTILL_MS)
    expect(runCountsOf(site, 'gone ')).to.deep.equal([])
    await warmUp(site)
  })
})
