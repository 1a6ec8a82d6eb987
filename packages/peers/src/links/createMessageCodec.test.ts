import { expect } from 'chai'

import { createMessageCodec } from './createMessageCodec.js'

const STRUCTURES = [['type', 'models'], ['name', 'count']]

const message = (body: object): object => ({ offset: 0, clock: 7, body })

describe('createMessageCodec', () => {
  it('transfers objects with and without a shared structure', () => {
    const [sender, receiver] = [createMessageCodec(STRUCTURES), createMessageCodec(STRUCTURES)]
    const bodies = [
      { type: 'a', models: [{ name: 'x', count: 1 }, { name: 'y', count: 2 }] },
      { type: 'b', models: [], more: { one: [1, 2], other: 'text' } },
      { models: [], type: 'order' },
      { type: 'a', models: [{ count: 3, name: 'z' }, { name: 'w' }] }
    ]
    for (let turn = 0; turn < 300; turn++) {
      for (const body of bodies) expect(receiver.unpack(sender.pack(message(body)))).to.deep.equal(message(body))
    }
  })

  it('leaves out the field names of objects with a shared structure', () => {
    const body = { type: 'a', models: Array.from({ length: 20 }, (_, count) => ({ name: 'm', count })) }
    const known = createMessageCodec(STRUCTURES).pack(message(body)).length
    const unknown = createMessageCodec([]).pack(message(body)).length
    expect(known).to.be.below(unknown)
  })

  it('refuses more structures than messages can have', () => {
    // Guards against messages that their receiver cannot decode, which closes the link again and again.
    const structures = Array.from({ length: 31 }, (_, index) => ['type', `field${index}`])
    const [sender, receiver] = [createMessageCodec(structures), createMessageCodec(structures)]
    for (const [, field = ''] of structures) {
      const body = { type: 'a', [field]: 1, more: { [field]: 2, other: [{ unknown: 3 }] } }
      expect(receiver.unpack(sender.pack(message(body)))).to.deep.equal(message(body))
      expect(receiver.unpack(sender.pack(message({ type: 'a', [field]: 1 })))).to.deep.equal(message({ type: 'a', [field]: 1 }))
    }
    expect(() => createMessageCodec([...structures, ['one', 'more']])).to.throw('32 structures')
  })
})
