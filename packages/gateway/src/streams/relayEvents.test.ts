import { EventEmitter } from 'node:events'
import { expect } from 'chai'
import { createVirtualTimers } from '@figmount/base'

import { BytesEnd } from '../forwarding/framing.js'
import { MAX_ASIDE_BYTES, MAX_ASIDE_COUNT, MAX_EVENT_BYTES } from './constants.js'
import { relayEvents, Taken } from './relayEvents.js'

import type { OpenAnswer } from '../forwarding/types.js'

const SILENCE_MS = 2_000

/** A stream to a reader that takes one event and then no more until it is drained. */
const setUp = (taken: Taken = Taken.Slowly) => {
  const timers = createVirtualTimers()
  const message = Object.assign(new EventEmitter(), { pause: () => {}, resume: () => {} })
  let abortCount = 0
  let drain = (): void => {}
  const end = relayEvents({
    answer: { message, guard: <Listener>(listener: Listener) => listener, abort: () => { abortCount += 1 } } as unknown as OpenAnswer,
    timers,
    take: () => taken,
    onceDrained: resume => { drain = resume },
    silenceMs: SILENCE_MS
  })
  return { timers, message, end, abortCount: () => abortCount, drain: () => drain() }
}

describe('relaying a stream', () => {
  it('does not mistake a stalled reader for a silent server', async () => {
    // Guards against ending a stream because its caller reads slowly.
    const { timers, message, abortCount } = setUp()
    message.emit('data', Buffer.from('id: 1\ndata: x\n\n'))
    timers.advance(SILENCE_MS * 2)
    expect(abortCount()).to.equal(0)
  })

  it('ends a stream whose server sends nothing after the reader has resumed', async () => {
    const { timers, message, end, abortCount, drain } = setUp()
    message.emit('data', Buffer.from('id: 1\ndata: x\n\n'))
    timers.advance(SILENCE_MS * 2)
    drain()
    timers.advance(SILENCE_MS - 1)
    expect(abortCount()).to.equal(0)
    timers.advance(SILENCE_MS / 2)
    expect(abortCount()).to.equal(1)
    expect(await end).to.deep.include({ end: BytesEnd.BrokenOff })
  })

  // Guards against a server that sends comments, or parts of an event, while its caller waits for a piece.
  it('ends a stream whose server sends nothing but comments, or an event that does not end', async () => {
    for (const text of [': ping\n\n', 'x']) {
      const { timers, message, end, abortCount } = setUp(Taken.InTime)
      message.emit('data', Buffer.from('id: 1\ndata: x\n\n'))
      for (let waitedMs = 0; waitedMs < SILENCE_MS; waitedMs += SILENCE_MS / 8) {
        message.emit('data', Buffer.from(text))
        timers.advance(SILENCE_MS / 8)
      }
      expect(abortCount()).to.equal(1)
      expect(await end).to.deep.equal({ end: BytesEnd.BrokenOff, reason: `no event for ${SILENCE_MS} ms` })
    }
  })

  // Guards against bytes without end that are no pieces, and against an event without end.
  it('ends a stream with more bytes than an event, or what is no piece, may have', async () => {
    const cases = [
      [':\n\n'.repeat(MAX_ASIDE_COUNT + 1), 'comments without end'],
      [`:${'x'.repeat(1_000)}\n\n`.repeat(MAX_ASIDE_BYTES / 1_000), 'comments without end'],
      ['x'.repeat(MAX_EVENT_BYTES + 1), `an event of over ${MAX_EVENT_BYTES} bytes, in too many chunks, or without room`]
    ] as const
    for (const [text, reason] of cases) {
      const { message, end, abortCount } = setUp(Taken.InTime)
      message.emit('data', Buffer.from(text))
      expect(await end).to.deep.equal({ end: BytesEnd.BrokenOff, reason })
      expect(abortCount()).to.equal(1)
    }
  })
})
