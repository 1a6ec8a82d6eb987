import { expect } from 'chai'

import { Framing, framingOf } from './framing.js'

const answer = (headers: Readonly<Record<string, string>>, statusCode = 200) => ({ headers, statusCode })

describe('the framing of an answer', () => {
  it('is that of its headers', () => {
    expect(framingOf(answer({ 'content-length': '3' }), 'GET')).to.equal(Framing.Length)
    expect(framingOf(answer({ 'transfer-encoding': 'chunked' }), 'GET')).to.equal(Framing.Chunks)
    expect(framingOf(answer({ 'transfer-encoding': 'gzip, Chunked' }), 'GET')).to.equal(Framing.Chunks)
    expect(framingOf(answer({}), 'GET')).to.equal(Framing.Connection)
  })

  it('is the end of its connection if the last coding is not chunked', () => {
    // Guards against an answer that counts as framed because it has a coding.
    expect(framingOf(answer({ 'transfer-encoding': 'gzip' }), 'GET')).to.equal(Framing.Connection)
  })

  it('is not needed without a body', () => {
    // Guards against complete answers that count as broken off because they have no length.
    expect(framingOf(answer({}, 204), 'POST')).to.equal(Framing.NoBody)
    expect(framingOf(answer({}, 304), 'GET')).to.equal(Framing.NoBody)
    expect(framingOf(answer({}), 'HEAD')).to.equal(Framing.NoBody)
  })
})
