import { expect } from 'chai'
import fc from 'fast-check'

import { beginRun, endRun, mayEnd, mayGoOn, openAccount, takeEvent } from './takeEvent.js'

import type { AccountedEvent } from './takeEvent.js'

interface Piece extends AccountedEvent {
  /** Place in the stream. */
  readonly index: number
}

/** One run of a stream. */
interface Run {
  /** It begins after the number that it is given; else with an earlier one, or anew. */
  readonly isHonouring: boolean
  readonly beginsWith: number
  /** Number that it leaves out. */
  readonly skipped: number
  /** Pieces after which it goes back to an earlier number. */
  readonly backAfterCount: number
  readonly backTo: number
  /** Pieces after which it breaks off, if it has not come to its end. */
  readonly sentCount: number
}

const NUMBER = fc.integer({ min: 0, max: 14 })
const RUN: fc.Arbitrary<Run> = fc.record({
  isHonouring: fc.boolean(), beginsWith: NUMBER, skipped: NUMBER, backAfterCount: fc.integer({ min: 0, max: 40 }), backTo: NUMBER, sentCount: fc.integer({ min: 0, max: 50 })
})
const HONEST: Run = { isHonouring: true, beginsWith: 0, skipped: 0, backAfterCount: 100, backTo: 0, sentCount: 100 }

/** Numbered pieces, each with so many pieces without a number before it; the last ones come at the end. */
const makeStream = (unnumberedCounts: readonly number[]): readonly Piece[] =>
  unnumberedCounts
    .flatMap((count, number) => [...Array.from({ length: count }, (_, index) => index % 2 === 0 ? '' : 'x'), String(number + 1)])
    .slice(0, -1)
    .map((eventId, index) => ({ index, eventId, hasData: true, bytes: { length: 1 } }))

const placeOf = (stream: readonly Piece[], number: number): number => stream.findIndex(({ eventId }) => eventId === String(number))

/** What a run sends that is asked to go on after `last`. */
const piecesOf = (stream: readonly Piece[], last: number | undefined, run: Run): readonly Piece[] => {
  const back = (number: number): number => last === undefined ? 0 : Math.max(0, placeOf(stream, Math.min(number, last)))
  const begin = run.isHonouring && last !== undefined ? placeOf(stream, last) + 1 : back(run.beginsWith)
  // The first and the last number can't be missed.
  const rest = (from: number): readonly Piece[] => stream.slice(from).filter(({ eventId, index }) =>
    eventId !== String(run.skipped) || run.skipped === 1 || !stream.slice(index + 1).some(piece => placeOf(stream, Number(piece.eventId)) > 0))
  const pieces = rest(begin)
  if (run.backAfterCount >= pieces.length) return pieces.slice(0, run.sentCount)
  const sent = pieces.slice(0, run.backAfterCount)
  const numbers = sent.map(({ eventId }) => Number(eventId)).filter(number => number > 0)
  const backTo = numbers[run.backTo % Math.max(1, numbers.length)]
  return (backTo === undefined ? pieces : [...sent, ...rest(placeOf(stream, backTo))]).slice(0, run.sentCount)
}

/** What a caller gets that has the pieces up to a number, and whether the stream ends as complete. */
const relay = (stream: readonly Piece[], hadCount: number, runs: readonly Run[]) => {
  let account = openAccount<Piece>(hadCount === 0 ? '' : String(hadCount))
  const got: Piece[] = []
  for (const run of runs) {
    if (!mayGoOn(account)) break
    account = beginRun(account)
    const pieces = piecesOf(stream, account.lastEventId === '' ? undefined : Number(account.lastEventId), run)
    for (const piece of pieces) {
      const taken = takeEvent(account, piece)
      account = taken.account
      got.push(...taken.passedOn)
    }
    const hasEnded = pieces.length === 0 || pieces.at(-1) === stream.at(-1)
    if (account.hasGap || !hasEnded || run.sentCount === 0) continue
    got.push(...endRun(account).passedOn)
    return { got, isComplete: true, mayGoOn: false }
  }
  return { got, isComplete: false, mayGoOn: mayGoOn(account) }
}

const idsOf = (pieces: readonly Piece[]): readonly string[] => pieces.map(({ eventId }) => eventId)

describe('the account of a stream', () => {
  it('gives each piece once and leaves none out, whatever the runs skip or send again, or does not go on', () => {
    // Guards against a piece that is missing, or comes twice, where a run goes on after the newest one.
    let completeCount = 0
    const counts = fc.array(fc.integer({ min: 0, max: 2 }), { minLength: 2, maxLength: 9 })
    fc.assert(fc.property(counts, NUMBER, fc.array(RUN, { minLength: 1, maxLength: 4 }), (unnumberedCounts, had, runs) => {
      const stream = makeStream(unnumberedCounts)
      const hadCount = Math.min(had, unnumberedCounts.length - 1)
      const { got, isComplete, mayGoOn: isPlaced } = relay(stream, hadCount, [...runs, HONEST])
      const due = stream.slice(hadCount === 0 ? 0 : placeOf(stream, hadCount) + 1)
      const indices = got.map(({ index }) => index)
      expect(indices).to.deep.equal([...new Set(indices)].sort((one, other) => one - other))
      const placedCount = 1 + got.findLastIndex(({ eventId }) => Number(eventId) > 0)
      expect(got.slice(0, placedCount)).to.deep.equal(due.slice(0, placedCount))
      if (isComplete) expect(idsOf(got)).to.deep.equal(idsOf(due))
      else expect(isPlaced).to.equal(false)
      completeCount += Number(isComplete)
    }), { seed: 1, numRuns: 5_000 })
    expect(completeCount).to.be.greaterThan(1_000)
  })

  it('lets a stream go on in another run after a gap', () => {
    // Guards against a stream that is broken off because one of its servers has left an event out.
    const stream = makeStream([0, 0, 0, 0, 0, 0, 0])
    expect(relay(stream, 2, [{ ...HONEST, skipped: 4 }, HONEST])).to.deep.include({ got: stream.slice(2), isComplete: true })
  })

  it('begins anywhere for a caller that names no number', () => {
    for (const lastEventId of ['', 'x', '1.5', '1e2']) {
      const piece = { index: 0, eventId: '8', hasData: true, bytes: { length: 1 } }
      const { account, passedOn } = takeEvent(openAccount<Piece>(lastEventId), piece)
      expect(passedOn).to.deep.equal([piece])
      expect(account.lastEventId).to.equal('8')
    }
  })

  it('ends a run that sends too much without a number where its place is unknown', () => {
    // Guards against memory that a server fills without an end.
    const piece = { index: 0, eventId: '', hasData: true, bytes: { length: 100_000 } }
    let account = openAccount<Piece>('7')
    for (let count = 0; count < 11; count++) account = takeEvent(account, piece).account
    expect({ heldCount: account.held.length, hasGap: account.hasGap }).to.deep.equal({ heldCount: 0, hasGap: true })
  })

  it('does not end with a run that ends before the last event', () => {
    // Guards against a stream that counts as complete as another run has begun anew and ended early.
    const ends = (eventIds: readonly string[]): boolean => {
      const pieces = eventIds.map((eventId, index) => ({ index, eventId, hasData: true, bytes: { length: 1 } }))
      return mayEnd(pieces.reduce((account, piece) => takeEvent(account, piece).account, openAccount<Piece>('3')))
    }
    expect([['1', '2'], ['1', '2', '']].map(ends)).to.deep.equal([false, false])
    expect([[], [''], ['1', '2', '3'], ['4', '5'], ['4', '5', '4']].map(ends)).to.deep.equal([true, true, true, true, true])
  })

  it('passes comments on and does not count them', () => {
    const comment = { index: 0, eventId: '', hasData: false, bytes: { length: 1 } }
    const before = openAccount<Piece>('7')
    expect(takeEvent(before, comment)).to.deep.equal({ account: before, passedOn: [comment] })
  })
})
