import { expect } from 'chai'

import { startForTest } from '../testing/startForTest.js'

describe('plain stand-in', () => {
  it('counts calls by request key', async () => {
    const standin = await startForTest({ kind: 'plain', delay_ms: 0 })
    const call = async (key: string): Promise<unknown> =>
      await (await fetch(`http://${standin.address}/bill`, { method: 'POST', headers: { 'figmount-request-key': key }, body: 'wall' })).json()
    await call('k1')
    expect(await call('k1')).to.deep.equal({ key: 'k1', count: 2, method: 'POST', path: '/bill', bodyBytes: 4 })
    expect(await call('k2')).to.deep.include({ key: 'k2', count: 1 })
    await standin.stop()
  })
})
