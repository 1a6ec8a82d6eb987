import { createTimerService, sleep } from '@figmount/base'
import { expect } from 'chai'

import { plainService } from '../rig/sitePlan.js'
import { callerKey, DEFAULT_CALLER } from '../rig/operate.js'
import { startSmallSite } from '../rig/smallSite.js'

import type { Site } from '../rig/createSite.js'

const PLAIN_SERVICE = 'survey-app'

describe('calls of plain services', () => {
  let site: Site
  afterEach(async () => await site.close())

  const start = async (name: string, delayMs: number): Promise<void> => {
    site = await startSmallSite(name, {
      agents: [{ name: 'p1', services: [PLAIN_SERVICE], backend: 'plain', backendKeys: { delay_ms: delayMs } }],
      items: [plainService(PLAIN_SERVICE)]
    })
  }

  const call = async (router: string, key: string, resendCount: number): Promise<Response> =>
    await fetch(`http://${site.router(router).address}/plain/${PLAIN_SERVICE}/bill`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${callerKey(DEFAULT_CALLER)}`,
        'figmount-request-key': key,
        'figmount-issued-at-ms': String(issuedAtMs),
        'figmount-resend-count': String(resendCount),
        'figmount-deadline-ms': '10000'
      },
      body: 'west wall'
    })
  let issuedAtMs = 0
  beforeEach(() => { issuedAtMs = Date.now() })

  const runCount = async (key: string): Promise<number> =>
    ((await site.backend('p1').dump()).callCounts as Record<string, number>)[key] ?? 0

  const callUntilServed = async (router: string, key: string): Promise<Response> => {
    let response = await call(router, key, 0)
    await site.rig.waitUntil('the call to be served', async () => {
      if (response.ok) return true
      issuedAtMs = Date.now()
      response = await call(router, key, 0)
      return response.ok
    })
    return response
  }

  // A call that may not be repeated is sent again to another router while it runs.
  it('run once when sent again', async () => {
    await start('plain-resend', 800)
    const first = await callUntilServed('r1', 'warm')
    expect(await first.json()).to.deep.include({ key: 'warm', count: 1, path: '/bill', bodyBytes: 9 })
    issuedAtMs = Date.now()
    const pending = call('r1', 'bill', 0)
    await site.rig.events.waitFor(event => event.name === 'plainCalled' && event.requestKey === 'bill', 'the call to run')
    const [firstResponse, secondResponse] = await Promise.all([pending, call('r2', 'bill', 1)])
    expect([firstResponse.status, secondResponse.status]).to.deep.equal([200, 200])
    expect(await secondResponse.json()).to.deep.equal(await firstResponse.json())
    expect(await runCount('bill')).to.equal(1)
  })

  // The service executes the call and its connection breaks before the response. The refusal must say that the call
  // may have run, and the call must not run again.
  it('run once when the response is lost', async () => {
    await start('plain-lost', 50)
    await callUntilServed('r1', 'warm')
    await site.backend('p1').command({ action: 'lose', count: 1 })
    issuedAtMs = Date.now()
    const response = await call('r1', 'lost', 0)
    expect(response.ok).to.equal(false)
    expect(((await response.json()) as { runState: string }).runState).to.be.oneOf(['may_have_run', 'ran'])
    const again = await call('r2', 'lost', 1)
    expect(again.ok).to.equal(false)
    expect(await runCount('lost')).to.equal(1)
  })

  it('get no part of an answer whose service is killed', async () => {
    // Guards against half an answer without a length that counts as whole, as the system closes the connection in order.
    await start('plain-killed', 50)
    await callUntilServed('r1', 'warm')
    await site.backend('p1').command({ action: 'unframe', pauseMs: 1_000 })
    issuedAtMs = Date.now()
    const whole = await call('r1', 'whole', 0)
    expect(whole.headers.get('content-length')).to.equal(String((await whole.clone().text()).length))
    expect(await whole.json()).to.deep.include({ key: 'whole', count: 1, bodyBytes: 9 })
    const pending = call('r1', 'cut', 0)
    await site.rig.events.waitFor(event => event.name === 'plainCalled' && event.requestKey === 'cut', 'the call to run')
    await sleep(createTimerService(), 500)
    await site.backend('p1').kill()
    const cut = await pending
    expect(cut.status).to.equal(502)
    expect(await cut.json()).to.deep.include({ runState: 'may_have_run' })
  })
})
