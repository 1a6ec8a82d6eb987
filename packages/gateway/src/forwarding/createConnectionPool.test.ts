import { expect } from 'chai'

import { createConnectionPool } from './createConnectionPool.js'

describe('connection pool', () => {
  it('keeps no connection over a restart', () => {
    // A server loses power and is back under its id at its address. The connections that were kept to it are silent for ever:
    // a request on one of them would wait for its time-out, and may not be sent again.
    const pool = createConnectionPool()
    const before = pool.agentFor({ serverId: 'a', startedAtUnixMs: 1 })
    expect(pool.agentFor({ serverId: 'a', startedAtUnixMs: 1 })).to.equal(before)
    const after = pool.agentFor({ serverId: 'a', startedAtUnixMs: 2 })
    expect(after).not.to.equal(before)
    pool.keepOnly([{ serverId: 'a', startedAtUnixMs: 2 }])
    expect(pool.agentFor({ serverId: 'a', startedAtUnixMs: 2 })).to.equal(after)
    expect(pool.agentFor({ serverId: 'a', startedAtUnixMs: 1 })).not.to.equal(before)
    pool.close()
  })
})
