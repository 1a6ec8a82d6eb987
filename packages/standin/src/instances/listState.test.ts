import { expect } from 'chai'

import { markLeaving, parseInstances, pruneVersions, removeInstance, setInstance, visibleList } from './listState.js'

const listed = parseInstances('r1 router aa-1 127.0.0.1:1, a1 agent aa-2 127.0.0.1:2 127.0.0.1:3')

describe('instance list state', () => {
  it('parses the instances setting', () => {
    expect(listed.map(instance => instance.name)).to.deep.equal(['r1', 'a1'])
    expect(listed[1]).to.deep.include({ role: 'agent', dataCentre: 'aa-2', backendAddress: '127.0.0.1:3', leaving: false })
    expect(() => parseInstances('x worker aa-1 127.0.0.1:1')).to.throw('neither router nor agent')
  })

  it('shows a change after the lag', () => {
    const versions = [{ atMs: -Infinity, instances: listed }, { atMs: 100, instances: removeInstance(listed, 'a1') }]
    expect(visibleList(versions, 50, 149)).to.have.length(2)
    expect(visibleList(versions, 50, 150)).to.have.length(1)
    expect(pruneVersions(versions, 50, 149)).to.have.length(2)
    expect(pruneVersions(versions, 50, 150)).to.have.length(1)
  })

  it('replaces an instance and marks it as leaving by name', () => {
    const moved = setInstance(listed, { ...listed[1]!, peerAddress: '127.0.0.1:9' })
    expect(moved.map(instance => instance.peerAddress)).to.deep.equal(['127.0.0.1:1', '127.0.0.1:9'])
    expect(markLeaving(listed, 'r1').map(instance => instance.leaving)).to.deep.equal([true, false])
  })
})
