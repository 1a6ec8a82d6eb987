import { createVirtualTimers } from '@figmount/base'
import { RUNNING_UNLOAD_MS } from '@figmount/decisions'
import { expect } from 'chai'

import { createTestFleet } from '../testing/createTestFleet.js'
import { makeAgentState } from '../testing/makeAgentState.js'
import { awaitDeparture } from './awaitDeparture.js'

import type { AgentState, EngineSpec, ServerStart } from '@figmount/fleet'
import type { KnownServer } from '../directory/types.js'
import type { GatewayContext } from './types.js'

const MODEL = { name: 'm', weightsMb: 100, coldLoadMs: 13_200, diskLoadMs: 600, memoryLoadMs: 300, adapterMb: 0 }
const SPEC: EngineSpec = { models: ['lone', 'busy', 'loud'].map(name => ({ ...MODEL, name })), weightsCapacityMb: 200, adapterSlots: 2 }
const PATIENCE_MS = 15_000
const LEAVING: Partial<AgentState> = { models: [{ name: 'm', adapters: [] }], leavingModels: ['m'], onDisk: ['m'] }

const serverOf = (state: Partial<AgentState> | undefined, isLimited = false): KnownServer =>
  ({ start: { serverId: isLimited ? 'limited' : 'a' }, state: state && makeAgentState('a', state) }) as unknown as KnownServer

const serverLimits = { isLimited: ({ serverId }: ServerStart) => serverId === 'limited' } as unknown as GatewayContext['serverLimits']

/** A request whose caller leaves in `leftMs`; `ended` shows after how long its wait ended, and how. */
const setUp = (first: readonly KnownServer[], leftMs = PATIENCE_MS) => {
  const timers = createVirtualTimers()
  const caller = new AbortController()
  const startedMs = timers.nowMs()
  const stop = { lastSendMs: Infinity }
  let servers = first
  let ended: { readonly mayLoad: boolean, readonly tookMs: number } | undefined
  const bounds = { lastSendMs: () => stop.lastSendMs, callerLeavesMs: () => startedMs + leftMs }
  const pass = async (durationMs: number): Promise<void> => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 10) {
      timers.advance(10)
      await new Promise(resolve => { setImmediate(resolve) })
    }
  }
  const wait = awaitDeparture({ timers, serverLimits }, { callerLeft: caller.signal }, MODEL, () => servers, bounds)
  wait.then(mayLoad => { ended = { mayLoad, tookMs: timers.nowMs() - startedMs } }, () => {})
  return { pass, caller, stop, ended: () => ended, list: (next: readonly KnownServer[]) => { servers = next } }
}

describe('a request whose model the only engine unloads', () => {
  it('is not refused while the engine makes room for another one', async () => {
    // Guards against callers that are refused although the engine could load their model a tenth of a second later.
    const fleet = createTestFleet({ spec: SPEC, engines: { a: { held: ['busy', 'loud'], onDisk: ['lone', 'busy', 'loud'] } }, routerNames: ['r1', 'r2', 'r3'] })
    fleet.askEvery(50, 'busy', PATIENCE_MS)
    fleet.askEvery(50, 'loud', PATIENCE_MS)
    await fleet.pass(5_000)
    fleet.askEvery(3_000, 'lone', PATIENCE_MS)
    await fleet.pass(30_000)
    expect(new Set(fleet.answers().map(({ outcome }) => outcome))).to.deep.equal(new Set(['served']))
    expect(fleet.answers().some(({ modelName }) => modelName === 'lone')).to.equal(true)
  })

  it('waits until the model has left', async () => {
    // Guards against a want that keeps the engine from unloading a model that is always in use.
    const { pass, ended, list } = setUp([serverOf(LEAVING)])
    await pass(200)
    expect(ended()).to.equal(undefined)
    list([serverOf({ onDisk: ['m'] })])
    await pass(50)
    expect(ended()).to.deep.equal({ mayLoad: true, tookMs: 250 })
  })

  it('waits beside an engine that takes few requests', async () => {
    // Guards against a refusal because of an engine that wants rest, and is not asked for the model.
    const { pass, ended, list } = setUp([serverOf(LEAVING), serverOf({ onDisk: ['m'] }, true)])
    await pass(100)
    expect(ended()).to.equal(undefined)
    list([serverOf({}, true)])
    await pass(50)
    expect(ended()?.mayLoad).to.equal(true)
  })

  it('waits no longer than an unload takes', async () => {
    // Guards against callers that are held behind long streams, and refused in the end.
    const { pass, ended } = setUp([serverOf(LEAVING)])
    await pass(RUNNING_UNLOAD_MS + 50)
    expect(ended()).to.deep.equal({ mayLoad: false, tookMs: RUNNING_UNLOAD_MS })
  })

  it('does not wait if the model comes back too late for its caller', async () => {
    const { pass, ended } = setUp([serverOf({ ...LEAVING, onDisk: [] })])
    await pass(10)
    expect(ended()?.mayLoad).to.equal(false)
  })

  it('does not wait beside another engine, or where no engine is known', async () => {
    // Guards against a wait without end for an engine that cannot load the model.
    for (const servers of [[serverOf(LEAVING), serverOf({})], [serverOf(undefined)], []]) {
      const { pass, ended } = setUp(servers)
      await pass(10)
      expect(ended()?.mayLoad).to.equal(false)
    }
  })

  it('ends its wait when its caller leaves or the router stops', async () => {
    for (const end of ['caller', 'stop']) {
      const { pass, caller, stop, ended } = setUp([serverOf(LEAVING)])
      await pass(100)
      end === 'caller' ? caller.abort() : stop.lastSendMs = 0
      await pass(100)
      expect(ended()?.mayLoad, end).to.equal(false)
    }
  })
})
