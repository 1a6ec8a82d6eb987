import { Socket } from 'node:net'
import { expect } from 'chai'

import { createTimerService } from '../timers/createTimerService.js'
import { makeOwnRoom } from './makeOwnRoom.js'

import type { ConnectionPlace } from './types.js'

const HELD_BYTES = 1_000

describe('a room for connections', () => {
  it('forgets connections that go while they wait for room', async () => {
    // Guards against requests of closed connections that stay in memory, uncounted, for as long as the room is full.
    const listener = makeOwnRoom(createTimerService(), { connectionCount: 10, requestCount: 4, heldBytes: HELD_BYTES }).addListener()
    const enter = (): { readonly socket: Socket, readonly place: ConnectionPlace | undefined } => {
      const socket = new Socket()
      return { socket, place: listener.enter(socket, () => false) }
    }
    const [holding, going, staying] = [enter(), enter(), enter()]
    const calledBack: string[] = []
    holding.place?.hold(2 * HELD_BYTES, 0)
    going.place?.onceRoom(() => { calledBack.push('going') })
    const stayed = new Promise<void>(resolve => {
      staying.place?.onceRoom(() => {
        calledBack.push('staying')
        resolve()
      })
    })
    going.socket.destroy()
    await stayed
    expect(calledBack).to.deep.equal(['staying'])
  })
})
