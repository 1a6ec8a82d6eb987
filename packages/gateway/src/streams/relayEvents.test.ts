import { EventEmitter } from 'node:events'
import { expect } from 'chai'
import { createVirtualTimers } from '@figmount/base'

import { BytesEnd } from '../forwarding/framing.js'
import { relayEvents, Taken } from './relayEvents.js'

import type { OpenAnswer } from '../forwarding/types.js'

const SILENCE_MS = 2_000

/** A stream to a reader that takes one event and then no more until it is drained. */
const setUp = () => {
  const timers = createVirtualTimers()
  const message = Object.assign(new EventEmitter(), { pause: () => {}, resume: () => {} })
  let abortCount = 0
  let drain = (): void => {}
  const end = relayEvents({
    answer: { message, guard: <Listener>(listener: Listener) => listener, abort: () => { abortCount += 1 } } as unknown as OpenAnswer,
    timers,
    take: () => Taken.Slowly,
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
})
