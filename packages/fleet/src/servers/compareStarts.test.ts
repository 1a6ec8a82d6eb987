import { expect } from 'chai'

import { isEarlierStart, isSameStart, startKeyOf } from './compareStarts.js'

import type { ServerStart } from './types.js'

const start = (serverId: string, startedAtUnixMs?: number): ServerStart => ({ serverId, startedAtUnixMs })

describe('comparison of server starts', () => {
  it('treats two starts as the same only if id and start time match', () => {
    expect(isSameStart(start('a', 1), start('a', 1))).to.equal(true)
    expect(isSameStart(start('a', 1), start('a', 2))).to.equal(false)
    expect(isSameStart(start('a', 1), start('b', 1))).to.equal(false)
  })

  it('assumes no restart when a start time is missing', () => {
    expect(isSameStart(start('a'), start('a', 2))).to.equal(true)
    expect(isEarlierStart(start('a'), start('a', 2))).to.equal(false)
    expect(isEarlierStart(start('a', 1), start('a'))).to.equal(false)
  })

  it('orders only starts with the same id', () => {
    expect(isEarlierStart(start('a', 1), start('a', 2))).to.equal(true)
    expect(isEarlierStart(start('a', 2), start('a', 2))).to.equal(false)
    expect(isEarlierStart(start('a', 1), start('b', 2))).to.equal(false)
  })

  it('gives each start a key of its own', () => {
    expect(new Set([start('a', 1), start('a', 2), start('a'), start('b', 1)].map(startKeyOf)).size).to.equal(4)
  })
})
