import { expect } from 'chai'

import { createConnectionPool } from './createConnectionPool.js'

describe('connection pool', () => {
  it('reuses no connection across a restart of the server', () => {
    // Guards against sending a request on a connection to a start that is gone.
    const pool = createConnectionPool()
    const before = pool.agentFor({ serverId: 'a', startedAtUnixMs: 1 })
    expect(pool.agentFor({ serverId: 'a', startedAtUnixMs: 1 })).to.equal(before)
    const after = pool.agentFor({ serverId: 'a', startedAtUnixMs: 2 })
    expect(after).not.to.equal(before)
    pool.retainStarts([{ serverId: 'a', startedAtUnixMs: 2 }])
    expect(pool.agentFor({ serverId: 'a', startedAtUnixMs: 2 })).to.equal(after)
    expect(pool.agentFor({ serverId: 'a', startedAtUnixMs: 1 })).not.to.equal(before)
    pool.close()
  })
})
