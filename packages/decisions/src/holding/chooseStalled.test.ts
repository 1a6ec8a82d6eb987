import { expect } from 'chai'

import { chooseStalled, STALL_MS } from './chooseStalled.js'

const holder = (name: string, bytes: number, stalledMs: number) => ({ name, bytes, stalledMs })
const namesOf = (holders: ReadonlyArray<{ readonly name: string }>): readonly string[] => holders.map(({ name }) => name)

describe('who loses the room for an answer', () => {
  it('is who has stalled longest', () => {
    // Guards against closing more callers than is needed.
    const holders = [holder('a', 10, STALL_MS + 1), holder('b', 10, STALL_MS + 9), holder('c', 10, STALL_MS + 5)]
    expect(namesOf(chooseStalled(holders, 20))).to.deep.equal(['b', 'c'])
  })

  it('is never a holder that moves', () => {
    // Guards against closing a caller that reads slowly.
    expect(chooseStalled([holder('a', 10, STALL_MS - 1)], 20)).to.deep.equal([])
  })
})
