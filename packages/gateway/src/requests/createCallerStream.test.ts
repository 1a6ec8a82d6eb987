import { EventEmitter } from 'node:events'
import { expect } from 'chai'
import { createEventLog, createMetrics, createVirtualTimers, Framing } from '@figmount/base'

import { MAX_ANSWER_BYTES } from '../forwarding/constants.js'
import { EndProof } from '../forwarding/framing.js'
import { createHeldBytes } from '../memory/createHeldBytes.js'
import { Taken } from '../streams/relayEvents.js'
import { createCallerStream } from './createCallerStream.js'

import type { InstanceName } from '@figmount/base'
import type { GatewayContext, RoutedRequest } from './types.js'

const setUp = ({ lastEventId = '', takesChunks = true } = {}) => {
  const timers = createVirtualTimers()
  const written: string[] = []
  const response = Object.assign(new EventEmitter(), {
    headersSent: false,
    req: { socket: new EventEmitter() },
    destroyed: false,
    useChunkedEncodingByDefault: takesChunks,
    writeHead: (status: number, headers: readonly string[]) => {
      response.headersSent = true
      written.push(['head', status, ...headers].join(' '))
    },
    flushHeaders: () => {},
    write: (bytes: Buffer) => {
      written.push(bytes.toString())
      return true
    },
    end: () => { written.push('end') }
  })
  const events = createEventLog({ instance: 'r' as InstanceName, role: 'router', timers })
  const metrics = createMetrics()
  const context = { timers, events, metrics, heldBytes: createHeldBytes({ timers, events, metrics }) } as unknown as GatewayContext
  const request = { response, arrivedMs: 0, caller: { requestId: 'r1', lastEventId } } as unknown as RoutedRequest
  const stream = createCallerStream(context, request)
  const take = (eventId: number | ''): Taken => stream.take({ bytes: Buffer.from(`e${eventId}`), eventId: String(eventId), hasData: true })
  return { stream, written, take }
}

describe('a caller\'s stream', () => {
  it('sends no head before the first event, so that a failure can still get its own status', () => {
    const { stream, written, take } = setUp()
    stream.open(200, [])
    expect(written).to.deep.equal([])
    take(1)
    expect(written).to.deep.equal(['head 200', 'e1'])
  })

  it('forwards each event once when a second run continues the first', () => {
    // The first engine dies after event 2. The second run starts with event 2 again, which the caller must not get twice.
    const { stream, written, take } = setUp()
    stream.open(200, [])
    take(1)
    take(2)
    stream.open(200, [])
    for (const id of [2, 3, 4]) take(id)
    expect(written).to.deep.equal(['head 200', 'e1', 'e2', 'e3', 'e4'])
  })

  it('forwards nothing after a missing event', () => {
    const { stream, written, take } = setUp()
    stream.open(200, [])
    take(1)
    expect(take(3)).to.equal(Taken.Gap)
    expect(take(4)).to.equal(Taken.Gap)
    expect(written).to.deep.equal(['head 200', 'e1'])
  })

  it('forwards nothing of a run that begins after an event that the caller lacks, and goes on with another', () => {
    // Guards against an event that is left out where a run goes on, and against a stream that ends for the fault of one server.
    const { stream, written, take } = setUp({ lastEventId: '7' })
    stream.open(200, [])
    expect(take(9)).to.equal(Taken.Gap)
    expect(written).to.deep.equal([])
    stream.open(200, [])
    for (const id of [8, 9]) expect(take(id)).to.equal(Taken.InTime)
    expect(written).to.deep.equal(['head 200', 'e8', 'e9'])
  })

  it('resumes after the last event that the caller has', () => {
    const { stream, written, take } = setUp({ lastEventId: '7' })
    stream.open(200, [])
    for (const id of [7, 8]) take(id)
    expect(written).to.deep.equal(['head 200', 'e8'])
  })

  it('goes on in no other run after a piece without a number, until a number follows', () => {
    // Guards against a piece that comes from two runs because nothing tells that the caller has it.
    const { stream, take } = setUp()
    stream.open(200, [])
    take(1)
    take('')
    expect(stream.mayGoOn()).to.equal(false)
    take(2)
    expect(stream.mayGoOn()).to.equal(true)
  })

  it('holds a piece without a number at the beginning of a run until it can be placed, or until the end', () => {
    const { stream, written, take } = setUp({ lastEventId: '7' })
    for (const eventIds of [['', 3, ''], ['', 8], ['']] as const) {
      stream.open(200, [])
      for (const id of eventIds) take(id)
    }
    expect(written).to.deep.equal(['head 200', 'e', 'e8'])
    stream.finish('a', { framing: Framing.Chunks, proof: EndProof.Framing })
    expect(written).to.deep.equal(['head 200', 'e', 'e8', 'e', 'end'])
  })

  it('is held for a caller of HTTP/1.0 and then sent with a length', () => {
    // Guards against an answer whose end is the end of its connection, which the end of the router's process would mark as well.
    const { stream, written, take } = setUp({ takesChunks: false })
    stream.open(200, [])
    for (const id of [1, 2]) take(id)
    expect(written).to.deep.equal([])
    stream.finish('s1', { framing: Framing.Connection, proof: EndProof.HealthCheck })
    expect(written).to.deep.equal(['head 200 content-length 4', 'e1e2', 'end'])
  })

  it('cannot be completed if it is too long to be held', () => {
    const { stream } = setUp({ takesChunks: false })
    stream.open(200, [])
    stream.take({ bytes: Buffer.alloc(MAX_ANSWER_BYTES), eventId: '1', hasData: true })
    expect(stream.isTooLong()).to.equal(false)
    expect(stream.take({ bytes: Buffer.from('x'), eventId: '2', hasData: true })).to.equal(Taken.Gap)
    expect(stream.isTooLong()).to.equal(true)
  })
})
