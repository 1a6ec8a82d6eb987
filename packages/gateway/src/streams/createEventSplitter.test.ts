import { expect } from 'chai'
import fc from 'fast-check'

import { MAX_EVENT_BYTES, MAX_EVENT_CHUNKS, MAX_UNFINISHED_BYTES } from './constants.js'
import { createEventSplitter } from './createEventSplitter.js'
import { unfinishedBytes } from './unfinishedBytes.js'

const event = (id: number): string => `id: ${id}\ndata: piece ${id}\n\n`
const STREAM = [1, 2, 3].map(event).join('')

describe('event splitter', () => {
  it('returns the same events however the bytes are split into chunks', () => {
    fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 12 }), { minLength: 1 }), sizes => {
      const splitter = createEventSplitter()
      const got: string[] = []
      const bytes = Buffer.from(STREAM)
      let position = 0
      for (let turn = 0; position < bytes.length; turn++) {
        const end = position + (sizes[turn % sizes.length] ?? 1)
        for (const { eventId } of splitter.push(bytes.subarray(position, end))) got.push(eventId)
        position = end
      }
      expect(got).to.deep.equal(['1', '2', '3'])
      expect(splitter.rest()).to.have.length(0)
    }), { seed: 2 })
  })

  it('accepts carriage returns and comments', () => {
    const events = createEventSplitter().push(Buffer.from('id: 7\r\ndata: x\r\n\r\n: ping\n\n'))
    expect(events.map(({ eventId }) => eventId)).to.deep.equal(['7', ''])
  })

  it('tells pieces from comments and other lines without data', () => {
    const events = createEventSplitter().push(Buffer.from('data: x\n\n: data: x\n\nretry: 5\n\nevent: a\r\ndata\r\n\r\ndatabase: x\n\nid: 1\n\n'))
    expect(events.map(({ hasData }) => hasData)).to.deep.equal([true, false, false, true, false, false])
  })

  it('holds back an incomplete event', () => {
    const splitter = createEventSplitter()
    expect(splitter.push(Buffer.from('id: 1\ndata: pi'))).to.deep.equal([])
    expect(splitter.rest().toString()).to.equal('id: 1\ndata: pi')
  })

  it('returns the bytes of events as they came, with any ends of lines, however they are split', () => {
    const line = fc.constantFrom('data: x', 'id: 1', ':', '', '\r', 'a\rb')
    const end = fc.constantFrom('\n', '\r\n', '\n\n', '\r\n\r\n')
    fc.assert(fc.property(fc.array(fc.tuple(line, end), { maxLength: 20 }), fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1 }), (lines, sizes) => {
      const bytes = Buffer.from(lines.flat().join(''))
      const whole = createEventSplitter()
      const expected = whole.push(bytes).map(({ bytes: eventBytes }) => eventBytes.toString())
      const splitter = createEventSplitter()
      const got: string[] = []
      let position = 0
      for (let turn = 0; position < bytes.length; turn++) {
        const next = position + (sizes[turn % sizes.length] ?? 1)
        for (const event of splitter.push(bytes.subarray(position, next))) got.push(event.bytes.toString())
        position = next
      }
      expect(got).to.deep.equal(expected)
      expect(got.join('') + splitter.rest().toString()).to.equal(bytes.toString())
      for (const text of got) expect(text).to.match(/(?:^|\n)\r?\n$/)
    }), { seed: 3 })
  })

  // Guards against an event without end, which would fill the memory.
  it('keeps no more of an event than its largest size', () => {
    const splitter = createEventSplitter()
    splitter.push(Buffer.from('id: 1\ndata: x\n\ndata: '))
    const piece = Buffer.alloc(65_536, 'x')
    while (!splitter.isTooLong()) splitter.push(piece)
    for (let count = 0; count < 100; count++) expect(splitter.push(piece)).to.deep.equal([])
    expect(splitter.rest().length).to.be.within(MAX_EVENT_BYTES - piece.length, MAX_EVENT_BYTES)
  })

  it('takes an event of the largest size, whole or in parts, and no longer one', () => {
    const largest = Buffer.alloc(MAX_EVENT_BYTES, 'x').fill('\n', MAX_EVENT_BYTES - 2)
    const [whole, parted, longer] = [createEventSplitter(), createEventSplitter(), createEventSplitter()]
    expect(whole.push(largest)).to.have.length(1)
    expect([...parted.push(largest.subarray(0, 1_000)), ...parted.push(largest.subarray(1_000))].map(({ bytes }) => bytes.equals(largest))).to.deep.equal([true])
    expect(longer.push(Buffer.concat([Buffer.from('x'), largest]))).to.deep.equal([])
    expect([whole, parted, longer].map(splitter => splitter.isTooLong())).to.deep.equal([false, false, true])
  })

  // Guards against chunks of one byte without end, which take more time than any event is worth.
  it('takes an event in the largest number of chunks, and in no more', () => {
    const byte = Buffer.from('x')
    const splitter = createEventSplitter()
    for (let count = 0; count < MAX_EVENT_CHUNKS; count++) splitter.push(byte)
    expect({ length: splitter.rest().length, isTooLong: splitter.isTooLong() }).to.deep.equal({ length: MAX_EVENT_CHUNKS, isTooLong: false })
    splitter.push(byte)
    expect(splitter.isTooLong()).to.equal(true)
  })

  it('keeps unfinished events within one bound for all streams', () => {
    // Guards against many streams that are each within their own bound and together larger than the machine's memory.
    const bytesBefore = unfinishedBytes.count()
    const splitters = Array.from({ length: 300 }, () => createEventSplitter())
    const half = Buffer.alloc(MAX_EVENT_BYTES / 2, 'x')
    for (const splitter of splitters) splitter.push(half)
    const keptBytes = splitters.reduce((sum, splitter) => sum + splitter.rest().length, 0)
    expect(keptBytes).to.be.at.most(MAX_UNFINISHED_BYTES + half.length)
    expect(createEventSplitter().push(Buffer.from(STREAM))).to.have.length(3)
    for (const splitter of splitters) splitter.clear()
    expect(unfinishedBytes.count()).to.equal(bytesBefore)
  })
})
