import { expect } from 'chai'
import { createVirtualTimers } from '@figmount/base'

import { createCrashHistory } from './createCrashHistory.js'

describe('crash history', () => {
  it('counts each start of a server that dies once', () => {
    // Guards against missed crashes of a server that restarts under the same id.
    const history = createCrashHistory(createVirtualTimers())
    for (const startedAtUnixMs of [1_000, 2_000, 2_000, 3_000]) history.note('h', { serverId: 'a', startedAtUnixMs })
    expect(history.crashCount('h')).to.equal(3)
    expect(history.crashCount('other')).to.equal(0)
  })
})
