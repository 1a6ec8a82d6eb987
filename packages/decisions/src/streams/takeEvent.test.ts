import { expect } from 'chai'
import fc from 'fast-check'

import { beginRun, openAccount, takeEvent } from './takeEvent.js'

interface Piece {
  readonly eventId: string
}

/** One run of a stream. */
interface Run {
  /** It goes on after the number that it is given; else it begins anew. */
  readonly isHonouring: boolean
  /** Number that it leaves out, if it is not the last one. */
  readonly skipped: number
  /** Pieces that it sends before it breaks off; more than all: it comes to its end. */
  readonly sentCount: number
}

const RUN = fc.record({ isHonouring: fc.boolean(), skipped: fc.integer({ min: 1, max: 20 }), sentCount: fc.integer({ min: 0, max: 30 }) })

const makeStream = (count: number): readonly Piece[] => Array.from({ length: count }, (_, index) => ({ eventId: String(index + 1) }))

const piecesOf = (stream: readonly Piece[], lastEventId: string, { isHonouring, skipped, sentCount }: Run): readonly Piece[] => {
  const rest = stream.slice(isHonouring ? stream.findIndex(({ eventId }) => eventId === lastEventId) + 1 : 0)
  return rest.filter(({ eventId }) => eventId !== String(skipped) || eventId === stream.at(-1)?.eventId).slice(0, sentCount)
}

/** What a caller gets that has the first pieces, and whether the stream ends as complete. */
const relay = (stream: readonly Piece[], hadCount: number, runs: readonly Run[]) => {
  let account = openAccount(hadCount === 0 ? '' : String(hadCount))
  const got: Piece[] = []
  for (const run of runs) {
    account = beginRun(account)
    const pieces = piecesOf(stream, account.lastEventId, run)
    for (const piece of pieces) {
      const taken = takeEvent(account, piece)
      account = taken.account
      got.push(...taken.passedOn)
    }
    if (!account.hasGap && pieces.at(-1) === stream.at(-1)) return { got, isComplete: true }
  }
  return { got, isComplete: false }
}

describe('the account of a stream', () => {
  it('gives each piece once and none is left out, whatever the runs skip or send again', () => {
    // Guards against a piece that is missing, or comes twice, where a run goes on after the newest one.
    fc.assert(fc.property(fc.integer({ min: 1, max: 12 }), fc.integer({ min: 1, max: 12 }), fc.array(RUN, { minLength: 1, maxLength: 4 }), (count, had, runs) => {
      const stream = makeStream(count)
      const hadCount = Math.min(had, count)
      const { got, isComplete } = relay(stream, hadCount, runs)
      expect(got).to.deep.equal(stream.slice(hadCount, hadCount + got.length))
      if (isComplete) expect(got).to.have.length(count - hadCount)
    }), { seed: 1, numRuns: 1_000 })
  })

  it('lets a stream go on in another run after a gap', () => {
    // Guards against a stream that is broken off because one of its servers has left an event out.
    const stream = makeStream(6)
    const skips: Run = { isHonouring: true, skipped: 4, sentCount: 30 }
    expect(relay(stream, 2, [skips, { ...skips, skipped: 9 }])).to.deep.equal({ got: stream.slice(2), isComplete: true })
  })

  it('begins anywhere for a caller that names no number', () => {
    for (const lastEventId of ['', 'x', '1.5', '1e2']) {
      expect(takeEvent(openAccount(lastEventId), { eventId: '8' })).to.deep.equal({ account: openAccount('8'), passedOn: [{ eventId: '8' }] })
    }
  })
})
