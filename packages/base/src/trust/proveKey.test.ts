import { expect } from 'chai'

import { checkProof, makeProof } from './proveKey.js'

describe('proof of the shared key', () => {
  it('is accepted from a peer that knows the key', () => {
    expect(checkProof('k', 'agent-1', makeProof('k', 'agent-1', 1000), 2000)).to.equal(true)
  })

  it('is refused for another key, another instance, an expired timestamp and malformed text', () => {
    const proof = makeProof('k', 'agent-1', 1000)
    expect(checkProof('other', 'agent-1', proof, 1000)).to.equal(false)
    expect(checkProof('k', 'agent-2', proof, 1000)).to.equal(false)
    expect(checkProof('k', 'agent-1', proof, 1_000_000)).to.equal(false)
    expect(checkProof('k', 'agent-1', 'nonsense', 1000)).to.equal(false)
  })
})
