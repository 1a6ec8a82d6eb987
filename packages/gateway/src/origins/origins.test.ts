import { expect } from 'chai'
import { createVirtualTimers } from '@figmount/base'

import { createOriginMemory } from '../../../sidecar/src/origins/createOriginMemory.js'
import { createStreamOrigins } from './createStreamOrigins.js'
import { createVersionLock } from './createVersionLock.js'

import type { RouterMessage } from '@figmount/fleet'
import type { LoneVersion } from '../directory/createSoftwareVersions.js'
import type { KnownServer } from '../directory/types.js'
import type { GatewayContext, RoutedRequest } from '../requests/types.js'
import type { FoundOrigin, StreamOrigins } from './createStreamOrigins.js'

const SERVICE = 's'
const AGENTS = ['a', 'b', 'c', 'd', 'e'] as const

/** Routers that reach the same agents, unless an agent is in `silent`. */
const setUp = (routerCount: number) => {
  const timers = createVirtualTimers()
  const memories = new Map(AGENTS.map(name => [name as string, createOriginMemory(timers)]))
  const silent = new Set<string>()
  const away = new Set<string>()
  const sent: RouterMessage[] = []
  const routers: StreamOrigins[] = []
  let hasSeveral = true
  let areAgentsReachable = true

  const send = (routerIndex: number, address: string, message: RouterMessage): void => {
    sent.push(message)
    const memory = memories.get(address)
    if (!memory || silent.has(address) || away.has(address)) return
    if (message.type === 'streamsBegan') memory.note(message.origins)
    if (message.type !== 'originAsked') return
    const softwareVersion = memory.find(message.streamId, message.serviceName)
    timers.after(2, () => { routers[routerIndex]?.takeAnswer(address, { type: 'originAnswered', askId: message.askId, softwareVersion, rememberedForMs: memory.rememberedForMs() }) })
  }

  for (let index = 0; index < routerCount; index++) {
    routers.push(createStreamOrigins({ timers, hasSeveralVersions: () => hasSeveral, reachableAddresses: () => AGENTS.filter(name => !away.has(name)), areAgentsReachable: () => areAgentsReachable, send: (address, message) => { send(index, address, message) } }))
  }

  const ask = async (router: StreamOrigins | undefined, streamId: string, serviceName = SERVICE): Promise<FoundOrigin | undefined> => {
    const found = router?.find(streamId, serviceName)
    timers.advance(500)
    return await found
  }
  const find = async (router: StreamOrigins | undefined, streamId: string, serviceName = SERVICE): Promise<string | undefined> => {
    const found = await ask(router, streamId, serviceName)
    return found?.type === 'known' ? found.softwareVersion : undefined
  }
  const setSeveral = (several: boolean): void => { hasSeveral = several }
  const setReachable = (reachable: boolean): void => { areAgentsReachable = reachable }
  /** The agent ends and forgets; routers lose their links to it. */
  const end = (name: string): void => {
    away.add(name)
    memories.set(name, createOriginMemory(timers))
    for (const router of routers) router.noteLost(name)
  }
  const start = (name: string): void => { away.delete(name) }
  const knowing = (streamId: string): readonly string[] => AGENTS.filter(name => memories.get(name)?.find(streamId, SERVICE) !== undefined)
  return { timers, routers, memories, silent, sent, ask, find, setSeveral, setReachable, end, start, knowing }
}

const note = (router: StreamOrigins | undefined, streamId: string, softwareVersion = 'v1'): void => { router?.note({ streamId, serviceName: SERVICE, softwareVersion }) }

describe('the origins of streams', () => {
  it('are known to the router that began one, and to any other', async () => {
    const { routers: [first, second], find } = setUp(2)
    note(first, 'r1')
    expect(await find(first, 'r1')).to.equal('v1')
    expect(await find(second, 'r1')).to.equal('v1')
  })

  it('are known while agents are silent or have started again', async () => {
    const { routers: [first, second], silent, sent, find } = setUp(2)
    note(first, 'r1')
    expect(sent).to.have.length(3)
    for (const name of AGENTS.slice(0, 2)) silent.add(name)
    expect(await find(second, 'r1')).to.equal('v1')
  })

  it('are not guessed: of an unknown stream, or one of another service, nobody knows', async () => {
    const { routers: [first, second], find } = setUp(2)
    note(first, 'r1')
    expect(await find(second, 'r2')).to.equal(undefined)
    expect(await find(first, 'r1', 'other')).to.equal(undefined)
  })

  it('are unknown for as long as all agents remember that were asked, and not at all while one is silent or not linked', async () => {
    // Guards against an agent that has forgotten, or was not asked, and counts as one that was never told.
    const { timers, routers: [first], silent, ask, setReachable } = setUp(1)
    timers.advance(10_000)
    expect(await ask(first, 'r1')).to.deep.equal({ type: 'unknown', rememberedForMs: 10_002 })
    setReachable(false)
    expect(await ask(first, 'r1')).to.deep.equal({ type: 'unknown', rememberedForMs: 0 })
    setReachable(true)
    for (const name of AGENTS) silent.add(name)
    expect(await ask(first, 'r1')).to.deep.equal({ type: 'unknown', rememberedForMs: 0 })
  })

  it('cost no message while a service has one version, and are told once it has two', async () => {
    // Guards against streams that began before the first server of the next version was listed.
    const { timers, routers: [first, second], sent, find, setSeveral } = setUp(2)
    setSeveral(false)
    note(first, 'r1')
    timers.advance(1_000)
    expect(sent).to.deep.equal([])
    setSeveral(true)
    timers.advance(500)
    expect(await find(second, 'r1')).to.equal('v1')
  })

  it('are remembered by other agents once those that were told have left, or have started again', async () => {
    // Guards against streams that nobody goes on with after all routers were killed, though servers of their version are left.
    const { timers, routers: [first, second], find, end, start, knowing } = setUp(2)
    note(first, 'r1')
    const told = knowing('r1')
    for (const name of told) {
      end(name)
      timers.advance(500)
    }
    expect(await find(second, 'r1')).to.equal('v1')
    for (const name of told) start(name)
    timers.advance(500)
    expect(knowing('r1')).to.include.members([...told])
    for (const name of told) {
      end(name)
      start(name)
      timers.advance(500)
    }
    expect(knowing('r1')).to.include.members([...told])
  })

  it('are told to agents that come while their service has several versions, and cost no message while nothing changes', async () => {
    const { timers, routers: [first], sent, end, start, knowing } = setUp(1)
    for (const name of ['a', 'b', 'c']) end(name)
    timers.advance(500)
    for (let index = 0; index < 20; index++) note(first, `r${index}`)
    timers.advance(10_000)
    expect(sent).to.have.length(40)
    for (const name of ['a', 'b', 'c']) start(name)
    timers.advance(500)
    const tellCount = sent.length
    for (let index = 0; index < 20; index++) expect(knowing(`r${index}`).length).to.be.at.least(3)
    timers.advance(10_000)
    expect(sent.length).to.equal(tellCount)
  })

  it('are forgotten after two minutes', async () => {
    const { timers, routers: [first, second], memories, find } = setUp(2)
    note(first, 'r1')
    timers.advance(121_000)
    expect(await find(second, 'r1')).to.equal(undefined)
    expect([...memories.values()].every(memory => memory.find('r1', SERVICE) === undefined)).to.equal(true)
  })
})

describe('the version lock of a stream', () => {
  const serverOf = (softwareVersion: string): KnownServer => ({ entry: { softwareVersion } } as unknown as KnownServer)

  interface Known {
    readonly origin?: string
    readonly knowsVersions?: boolean
    readonly lone?: LoneVersion
    readonly rememberedForMs?: number
  }

  const makeLock = (caller: { readonly lastEventId: string, readonly resumes: string }, versions: readonly string[], { origin, knowsVersions = true, lone, rememberedForMs = 0 }: Known = {}) => {
    const found: FoundOrigin = origin === undefined ? { type: 'unknown', rememberedForMs } : { type: 'known', softwareVersion: origin }
    const noted: string[] = []
    const context = {
      events: { emit: () => {} },
      metrics: { count: () => {} },
      timers: { nowMs: () => 0 },
      list: { ageMs: () => 500, hasStoodStill: () => false, outOfStepAgoMs: () => Infinity, readAfter: async () => true },
      directory: { versionsOf: () => new Set(versions), knowsVersions: () => knowsVersions, loneVersionOf: () => lone },
      origins: { find: async () => found, note: ({ streamId }: { readonly streamId: string }) => { noted.push(streamId) } }
    } as unknown as GatewayContext
    const request = { caller: { requestId: 'own', ...caller }, route: { isResumable: true }, serviceName: SERVICE } as unknown as RoutedRequest
    return { lock: createVersionLock(context, request), noted }
  }

  it('keeps a stream at the version of its first event', async () => {
    const { lock, noted } = makeLock({ lastEventId: '', resumes: '' }, ['v1', 'v2'])
    expect(await lock.resolve()).to.equal(true)
    expect(lock.mayServe(serverOf('v2'))).to.equal(true)
    lock.begin(serverOf('v2'))
    lock.begin(serverOf('v1'))
    expect([lock.mayServe(serverOf('v1')), lock.mayServe(serverOf('v2'))]).to.deep.equal([false, true])
    expect(noted[0]).to.equal('own')
  })

  it('keeps a stream that its caller takes up at the version that began it', async () => {
    const { lock, noted } = makeLock({ lastEventId: '3', resumes: 'first' }, ['v1', 'v2'], { origin: 'v1' })
    expect(await lock.resolve()).to.equal(true)
    expect([lock.mayServe(serverOf('v1')), lock.mayServe(serverOf('v2'))]).to.deep.equal([true, false])
    lock.begin(serverOf('v1'))
    expect(noted).to.deep.equal(['first'])
  })

  it('keeps a stream that its caller takes up at the only version, also when another one comes while it waits', async () => {
    // Guards against a server of a new version that goes on with a stream as it was listed after the question of who began it.
    const { lock } = makeLock({ lastEventId: '3', resumes: '' }, ['v1'])
    expect(await lock.resolve()).to.equal(true)
    expect([lock.mayServe(serverOf('v1')), lock.mayServe(serverOf('v2'))]).to.deep.equal([true, false])
  })

  it('keeps a stream at the version that began it also at a router that knows only the next one', async () => {
    // Guards against a router that has started after the last server of the version had gone: another version would go on with its streams.
    const { lock } = makeLock({ lastEventId: '3', resumes: 'first' }, ['v2'], { origin: 'v1', knowsVersions: false })
    expect(await lock.resolve()).to.equal(true)
    expect(lock.mayServe(serverOf('v2'))).to.equal(false)
    const unknown = makeLock({ lastEventId: '3', resumes: 'first' }, ['v2'], { knowsVersions: false })
    expect(await unknown.lock.resolve()).to.equal(false)
    const recorded = makeLock({ lastEventId: '3', resumes: 'first' }, ['v2'])
    expect(await recorded.lock.resolve()).to.equal(true)
    expect(recorded.lock.mayServe(serverOf('v2'))).to.equal(true)
  })

  it('keeps a stream that no agent was told of at the version that served alone before the others came', async () => {
    // Guards against a refusal for ever of streams that began while there was nothing to tell.
    const lone = { softwareVersion: 'v1', othersForMs: 4_000 }
    const { lock } = makeLock({ lastEventId: '3', resumes: 'first' }, ['v1', 'v2'], { lone, rememberedForMs: 4_000 })
    expect(await lock.resolve()).to.equal(true)
    expect([lock.mayServe(serverOf('v1')), lock.mayServe(serverOf('v2'))]).to.deep.equal([true, false])
    // Agents that have started again since may have been told, and an unnamed stream can be any.
    expect(await makeLock({ lastEventId: '3', resumes: 'first' }, ['v1', 'v2'], { lone, rememberedForMs: 3_999 }).lock.resolve()).to.equal(false)
    expect(await makeLock({ lastEventId: '3', resumes: '' }, ['v1', 'v2'], { lone, rememberedForMs: 60_000 }).lock.resolve()).to.equal(false)
  })

  it('lets no server go on with a stream that nobody knows, unless there is one version', async () => {
    // Guards against a guess, and against a refusal where there is nothing to guess.
    expect(await makeLock({ lastEventId: '3', resumes: 'first' }, ['v1', 'v2']).lock.resolve()).to.equal(false)
    expect(await makeLock({ lastEventId: '3', resumes: '' }, ['v1', 'v2'], { origin: 'v1' }).lock.resolve()).to.equal(false)
    expect(await makeLock({ lastEventId: '3', resumes: 'first' }, ['v1']).lock.resolve()).to.equal(true)
  })
})
