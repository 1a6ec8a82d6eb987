import { createServer } from 'node:http'
import { expect } from 'chai'
import { createEventLog, createTimerService, createVirtualTimers } from '@figmount/base'
import { acceptLinks, NO_OFFSET } from '@figmount/peers'

import { makeAgentState } from '../testing/makeAgentState.js'
import { makeServerEntry } from '../testing/makeServerEntry.js'

import { STALE_DELIVERY_MS, DELAYED_AFTER_MS } from './constants.js'
import { createAgentLinks } from './createAgentLinks.js'

import type { AddressInfo } from 'node:net'
import type { InstanceName } from '@figmount/base'
import type { AgentMessage, ListRead, RouterMessage } from '@figmount/fleet'
import type { Link } from '@figmount/peers'

/** No program listens on this port. */
const ADDRESS = '127.0.0.1:1'

const ENTRY = makeServerEntry('a', { address: ADDRESS })

const NO_HANDLERS = { takeState: () => {}, takeLoad: () => {}, takeDeploymentAsked: () => {}, takeDeploymentPiece: () => {}, takeListRead: () => {}, takeNotice: () => {}, found: () => {}, takeOrigin: () => {}, takeUnits: () => {}, lost: () => {} }

const wait = async (durationMs: number): Promise<void> => await new Promise(resolve => { setTimeout(resolve, durationMs) })

const until = async (holds: () => boolean): Promise<void> => {
  while (!holds()) await new Promise(resolve => { setTimeout(resolve, 5) })
}

const setUp = () => {
  const timers = createVirtualTimers()
  const lost: string[] = []
  const links = createAgentLinks({
    agentPort: 1,
    context: {
      instance: 'r' as InstanceName,
      sharedKey: 'key',
      timers,
      events: createEventLog({ instance: 'r' as InstanceName, role: 'router', timers }),
      offset: () => NO_OFFSET,
      onPeerOffset: () => {}
    },
    handlers: { ...NO_HANDLERS, lost: address => { lost.push(address) } }
  })
  return { timers, links, lost }
}

/** A router's link to a test agent that answers nothing; `sendState` sends it the agent's state, `sendListRead` a read of the list. */
const setUpAgent = async (more: Partial<typeof NO_HANDLERS> = {}) => {
  const server = createServer()
  const timers = createTimerService()
  const instance = 'a' as InstanceName
  const context = { instance, sharedKey: 'key', timers, events: createEventLog({ instance, role: 'agent', timers }), offset: () => NO_OFFSET, onPeerOffset: () => {} }
  const receivedTypes: string[] = []
  const toRouters: Array<Link<AgentMessage, RouterMessage>> = []
  acceptLinks<AgentMessage, RouterMessage>(server, context, async link => {
    toRouters.push(link)
    for await (const message of link.received) receivedTypes.push(message.type)
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  const staleFlags: boolean[] = []
  const handlers = { ...NO_HANDLERS, takeListRead: (_read: ListRead, mayBeStale: boolean): void => { staleFlags.push(mayBeStale) }, ...more }
  const links = createAgentLinks({ agentPort: port, context, handlers })
  links.follow([ENTRY], () => true)
  return {
    timers,
    links,
    receivedTypes,
    openedCount: () => toRouters.length,
    closeLinks: () => { for (const link of toRouters) link.close('test') },
    sendOdd: (message: object) => { for (const link of toRouters) link.send(message as AgentMessage) },
    sendState: () => { for (const link of toRouters) link.send(makeAgentState('a')) },
    sendListRead: () => { for (const link of toRouters) link.send({ type: 'listRead', fromOffset: 0, toOffset: 1, records: [], ageMs: 0, answeredForMs: 0, isAfterBreak: false }) },
    staleFlags,
    close: () => {
      links.close()
      server.close()
      server.closeAllConnections()
    }
  }
}

describe('links to agents', () => {
  it('are not ready while no agent is known', () => {
    // Guards against a router that reports ready before it can reach any agent.
    const { links } = setUp()
    expect(links.isReady()).to.equal(false)
    links.follow([ENTRY], () => true)
    expect(links.isReady()).to.equal(false)
    links.close()
  })

  it('are ready only once the agent has sent its state', async () => {
    // Guards against loading a model twice, by a router that has the state of only half of the engines.
    const { links, receivedTypes, sendState, close } = await setUpAgent()
    await until(() => links.find(ADDRESS)?.send({ type: 'heartbeat' }) ?? false)
    expect(links.isReady()).to.equal(false)
    await until(() => {
      sendState()
      return links.isReady()
    })
    for (const type of receivedTypes) expect(type).to.equal('heartbeat')
    close()
  })

  it('mark a read as possibly stale if an agent relays it after a silence', async () => {
    // Guards against a paused agent whose delayed messages would be taken for new ones.
    const { timers, links, sendState, sendListRead, staleFlags, close } = await setUpAgent()
    await until(() => links.find(ADDRESS)?.isOpen() ?? false)
    const stopTelling = timers.every(100, sendState)
    await wait(STALE_DELIVERY_MS + 300)
    sendListRead()
    await until(() => staleFlags.length === 1)
    stopTelling()
    await wait(DELAYED_AFTER_MS + 100)
    sendState()
    sendListRead()
    await until(() => staleFlags.length === 2)
    close()
    expect(staleFlags).to.deep.equal([false, true])
  })

  it('are opened again after handlers that failed', async () => {
    // Guards against an agent that a router never reaches again.
    const fail = (): void => { throw new RangeError('odd') }
    const { links, openedCount, sendState, closeLinks, close } = await setUpAgent({ found: fail, lost: fail })
    await until(() => links.find(ADDRESS)?.isOpen() ?? false)
    closeLinks()
    await until(() => openedCount() === 2)
    await until(() => {
      sendState()
      return links.isReady()
    })
    close()
  })

  it('end a want in time when the agent stops answering', async () => {
    // Guards against waits that end after their callers have left.
    const { timers, links, receivedTypes, close } = await setUpAgent()
    await until(() => links.find(ADDRESS)?.isOpen() ?? false)
    const askedMs = timers.nowMs()
    const want = links.find(ADDRESS)?.want({ serverId: 'a', modelName: 'm', adapterName: '', waitingCount: 1, lateCount: 0, timeLeftMs: 100 })
    expect(await want?.outcome).to.deep.include({ isReady: false, isLost: false })
    expect(timers.nowMs() - askedMs).to.be.within(90, 600)
    for (const type of receivedTypes) expect(type).to.be.oneOf(['heartbeat', 'want'])
    close()
  })

  it('carry heartbeats only when no other message is sent', async () => {
    // Guards against heartbeats in addition to other messages, and against links that are closed for lack of one.
    const { links, receivedTypes, close } = await setUpAgent()
    const demand: RouterMessage = { type: 'demand', models: [], replicas: [] }
    await until(() => links.find(ADDRESS)?.send(demand) ?? false)
    for (let count = 0; count < 6; count++) {
      await new Promise(resolve => { setTimeout(resolve, 300) })
      links.find(ADDRESS)?.send(demand)
    }
    expect(receivedTypes).not.to.include('heartbeat')
    await new Promise(resolve => { setTimeout(resolve, 2_000) })
    expect(receivedTypes).to.include('heartbeat')
    close()
  })

  it('are closed when their server was not listed for a while', () => {
    const { timers, links, lost } = setUp()
    links.follow([ENTRY], () => true)
    timers.advance(9_000)
    links.follow([], () => true)
    expect(links.find(ADDRESS)).not.to.equal(undefined)
    timers.advance(2_000)
    links.follow([], () => true)
    expect(links.find(ADDRESS)).to.equal(undefined)
    expect(lost).to.include(ADDRESS)
    links.close()
  })

  it('are opened again after a message that could not be taken', async () => {
    // Guards against an engine that is lost for the router for ever, as its agent has once sent an odd message.
    let takenCount = 0
    const takeState = (): void => {
      takenCount += 1
      if (takenCount === 1) throw new Error('odd')
    }
    const { links, sendState, openedCount, close } = await setUpAgent({ takeState })
    await until(() => links.find(ADDRESS)?.isOpen() ?? false)
    sendState()
    await until(() => openedCount() === 2 && (links.find(ADDRESS)?.isOpen() ?? false))
    sendState()
    await until(() => takenCount > 1)
    expect(links.isReady()).to.equal(true)
    close()
  })

  it('take no state without the lists that each request looks through', async () => {
    // Guards against an odd state that each later request for the engine's models fails on.
    let takenCount = 0
    const { links, sendOdd, openedCount, close } = await setUpAgent({ takeState: () => { takenCount += 1 } })
    const odd = [{ models: 5 }, { models: [null] }, { models: [{ name: 'm' }] }, { queuedModels: undefined }, { goneStarts: 'x' }]
    for (const [index, fields] of odd.entries()) {
      await until(() => openedCount() === index + 1 && (links.find(ADDRESS)?.isOpen() ?? false))
      sendOdd({ ...makeAgentState('a'), ...fields })
    }
    await until(() => openedCount() === odd.length + 1)
    expect(takenCount).to.equal(0)
    close()
  })

  it('refuse a want at once while the agent does not answer', async () => {
    const { links } = setUp()
    links.follow([ENTRY], () => true)
    const outcome = await links.find(ADDRESS)?.want({ serverId: 'a', modelName: 'm', adapterName: '', waitingCount: 1, lateCount: 0, timeLeftMs: 100 }).outcome
    expect(outcome).to.deep.include({ isReady: false, isLost: true })
    links.close()
  })
})
