import { expect } from 'chai'
import fc from 'fast-check'

import { createEventSplitter } from './createEventSplitter.js'

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
})
