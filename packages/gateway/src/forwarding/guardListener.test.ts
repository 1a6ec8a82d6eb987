import { expect } from 'chai'

import { createListenerGuard } from './guardListener.js'

import type { Fault } from '@figmount/base'

describe('a guarded listener', () => {
  const ends: Fault[] = []
  const guard = createListenerGuard('a.step', 's1', fault => { ends.push(fault) })

  // Guards against an exception that reaches the event emitter, which would end the process.
  it('ends the exchange with a fault in place of throwing', () => {
    guard(() => { throw new TypeError('no such header') })()
    expect(ends).to.deep.equal([{ kind: 'internal', step: 'a.step', peer: 's1', message: 'no such header' }])
  })

  it('hands on what it is called with', () => {
    const seen: Array<readonly [number, string]> = []
    guard((count: number, name: string) => { seen.push([count, name]) })(2, 'a')
    expect(seen).to.deep.equal([[2, 'a']])
  })
})
