import { expect } from 'chai'
import { createVirtualTimers } from '@figmount/base'

import { createPartHistory } from './createPartHistory.js'

import type { PartDeath } from './types.js'

const death = (serverId: string, ageMs: number, ...partIds: readonly string[]): PartDeath =>
  ({ start: { serverId, startedAtUnixMs: 1 }, ageMs, parts: partIds.map(partId => ({ partId, sentAgeMs: ageMs + 50, provenAgeMs: undefined, sentAfter: undefined })) })

describe('part history', () => {
  it('joins what several routers report of one death, and tells what is new', () => {
    const history = createPartHistory(createVirtualTimers())
    history.note(death('a', 0, 'p', 'q'))
    expect(history.note(death('a', 0, 'q', 'r'))?.parts.map(({ partId }) => partId)).to.deep.equal(['r'])
    expect(history.note(death('a', 0, 'p'))).to.equal(undefined)
    expect(history.deaths()).to.have.length(1)
  })

  it('tells a proof on only if it says something new of a part under which servers died', () => {
    // Guards against a message for each answered request.
    const timers = createVirtualTimers()
    const history = createPartHistory(timers)
    timers.advance(1_000)
    expect(history.noteProof({ partId: 'p', sentAgeMs: 0 })).to.equal(false)
    timers.advance(1_000)
    history.note(death('a', 0, 'p'))
    expect(history.noteProof({ partId: 'p', sentAgeMs: 500 })).to.equal(false)
    timers.advance(100)
    expect(history.noteProof({ partId: 'p', sentAgeMs: 0 })).to.equal(true)
    timers.advance(100)
    expect(history.noteProof({ partId: 'p', sentAgeMs: 0 })).to.equal(false)
  })

  it('is the same in another process that is told of it later', () => {
    const timers = createVirtualTimers()
    const [first, second] = [createPartHistory(timers), createPartHistory(timers)]
    timers.advance(5_000)
    first.noteProof({ partId: 'p', sentAgeMs: 2_000 })
    first.note(death('a', 100, 'p'))
    timers.advance(700)
    for (const known of first.deaths()) second.note(known)
    expect(second.deaths()).to.deep.equal(first.deaths())
    expect(second.proofOf('p')).to.deep.equal({ partId: 'p', sentAgeMs: 2_700 })
  })

  it('passes on no parts that were disproved', () => {
    // Guards against a megabyte for each process that links after many engines have died.
    const timers = createVirtualTimers()
    const history = createPartHistory(timers)
    history.note(death('a', 0, 'p', 'q'))
    history.note(death('b', 0, 'q'))
    timers.advance(1_000)
    history.noteProof({ partId: 'q', sentAgeMs: 0 })
    expect(history.deaths().map(({ start, parts }) => [start.serverId, parts.map(({ partId }) => partId)])).to.deep.equal([['a', ['p']]])
  })

  it('forgets and is bounded', () => {
    const timers = createVirtualTimers()
    const history = createPartHistory(timers)
    for (let count = 0; count < 200; count++) {
      history.note(death(`s${count}`, 0, ...Array.from({ length: 1_000 }, (_, index) => `p${count}-${index}`)))
      for (let index = 0; index < 50; index++) history.noteProof({ partId: `q${count}-${index}`, sentAgeMs: 0 })
    }
    expect(history.deaths().length).to.be.at.most(61)
    expect(history.deaths().flatMap(({ parts }) => parts).length).to.be.at.most(61 * 300)
    expect(history.view().provenMs.size).to.be.at.most(2_000)
    timers.advance(601_000)
    expect(history.deaths()).to.deep.equal([])
  })
})
