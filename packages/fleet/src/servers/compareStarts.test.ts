import { expect } from 'chai'

import { isEarlierStart, isSameStart, startKeyOf } from './compareStarts.js'

import type { ServerStart } from './types.js'

const start = (serverId: string, startedAtUnixMs?: number): ServerStart => ({ serverId, startedAtUnixMs })

describe('starts of a server', () => {
  it('are the same only with id and time', () => {
    expect(isSameStart(start('a', 1), start('a', 1))).to.equal(true)
    expect(isSameStart(start('a', 1), start('a', 2))).to.equal(false)
    expect(isSameStart(start('a', 1), start('b', 1))).to.equal(false)
  })

  it('of an unknown time prove no restart', () => {
    expect(isSameStart(start('a'), start('a', 2))).to.equal(true)
    expect(isEarlierStart(start('a'), start('a', 2))).to.equal(false)
    expect(isEarlierStart(start('a', 1), start('a'))).to.equal(false)
  })

  it('are in order only within one server', () => {
    expect(isEarlierStart(start('a', 1), start('a', 2))).to.equal(true)
    expect(isEarlierStart(start('a', 2), start('a', 2))).to.equal(false)
    expect(isEarlierStart(start('a', 1), start('b', 2))).to.equal(false)
  })

  it('have keys of their own', () => {
    expect(new Set([start('a', 1), start('a', 2), start('a'), start('b', 1)].map(startKeyOf)).size).to.equal(4)
  })
})
