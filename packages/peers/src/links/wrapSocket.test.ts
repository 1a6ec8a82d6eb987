import { EventEmitter } from 'node:events'
import { expect } from 'chai'
import { createEventLog, createTimerService } from '@figmount/base'

import { MAX_PROCESS_BUFFERED_BYTES } from './constants.js'
import { NO_OFFSET, wrapSocket } from './wrapSocket.js'

import type { WebSocket } from 'ws'
import type { InstanceName } from '@figmount/base'

const LINK_BYTES = 8 * 1024 * 1024

interface Message {
  readonly type: string
}

/** A socket whose peer does not read. */
const createFullSocket = (bufferedAmount: number): WebSocket =>
  Object.assign(new EventEmitter(), { bufferedAmount, send: () => {}, terminate: () => {} }) as unknown as WebSocket

describe('wrapSocket', () => {
  it('bounds what all links of a process keep for peers that do not read', () => {
    // Guards against a process that the unsent messages of many links end, each below its own bound.
    const timers = createTimerService()
    const instance = 'a' as InstanceName
    const events = createEventLog({ instance, role: 'agent', timers })
    const context = { instance, sharedKey: 'key', timers, events, offset: () => NO_OFFSET, onPeerOffset: () => {} }
    const links = Array.from({ length: 24 }, () => wrapSocket<Message, Message>(createFullSocket(LINK_BYTES), 'peer', context))
    const sound = wrapSocket<Message, Message>(createFullSocket(0), 'sound', context)
    for (const link of [...links, sound]) link.send({ type: 'a' })
    const keptBytes = links.filter(link => link.isOpen()).length * LINK_BYTES
    expect(keptBytes).to.be.within(LINK_BYTES, MAX_PROCESS_BUFFERED_BYTES)
    expect(sound.isOpen()).to.equal(true)
    for (const link of [...links, sound]) link.close('the test ends')
  })
})
