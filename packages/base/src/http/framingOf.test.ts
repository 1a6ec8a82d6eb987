import { expect } from 'chai'

import { Framing, framingOf } from './framingOf.js'

import type { IncomingHttpHeaders } from 'node:http'

const framing = (headers: IncomingHttpHeaders, method = 'GET', statusCode = 200): Framing => framingOf({ statusCode, headers }, method)

describe('framing of an answer', () => {
  it('is its length, its chunks or its connection', () => {
    expect(framing({ 'content-length': '0' })).to.equal(Framing.Length)
    expect(framing({ 'transfer-encoding': 'chunked' })).to.equal(Framing.Chunks)
    expect(framing({ 'transfer-encoding': 'gzip, Chunked' })).to.equal(Framing.Chunks)
    expect(framing({})).to.equal(Framing.Connection)
  })

  it('is its connection after a last coding other than chunks', () => {
    // Guards against a cut answer that counts as whole as it names a coding.
    expect(framing({ 'transfer-encoding': 'chunked, gzip' })).to.equal(Framing.Connection)
    expect(framing({ 'transfer-encoding': 'identity' })).to.equal(Framing.Connection)
  })

  it('is none where there is no body', () => {
    // Guards against whole answers that are repeated for want of a length.
    expect(framing({}, 'HEAD')).to.equal(Framing.NoBody)
    expect(framing({}, 'GET', 204)).to.equal(Framing.NoBody)
    expect(framing({ 'content-length': '9' }, 'GET', 304)).to.equal(Framing.NoBody)
  })
})
