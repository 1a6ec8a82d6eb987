import { expect } from 'chai'
import { Right } from 'purify-ts'
import { createEventLog, createVirtualTimers } from '@figmount/base'
import { ProbeResult } from '@figmount/decisions'
import { createCrashHistory, RELIST_GRACE_MS } from '@figmount/fleet'

import { createDirectory } from '../directory/createDirectory.js'
import { makeServerEntry } from '../testing/makeServerEntry.js'
import { createBreakWatch } from './createBreakWatch.js'
import { createCrashNotifier } from './createCrashNotifier.js'

import type { InstanceName } from '@figmount/base'
import type { RequestIdentity, ServerEntry } from '@figmount/fleet'
import type { RoutedRequest } from '../requests/types.js'

const IDENTITY: RequestIdentity = { contentHash: 'h', callerId: 'c' }
const ENTRY = makeServerEntry('a')

const requestOf = (identity: RequestIdentity): RoutedRequest => ({ identity, caller: { requestId: 'r', promptParts: [] } }) as unknown as RoutedRequest

/** A router with one plain server whose health checks end as `probe` says. */
const setUp = (probe: () => ProbeResult) => {
  let listed = ENTRY
  const timers = createVirtualTimers()
  const events = createEventLog({ instance: 'r' as InstanceName, role: 'router', timers })
  const directory = createDirectory({ timers, events, decodeServer: () => Right(listed), isServiceConfigured: () => true, onEntry: () => {} })
  const list = (given: Partial<ServerEntry> = {}): void => {
    listed = { ...ENTRY, ...given }
    directory.takeRecords([{ key: 'a', value: Buffer.from('x'), offset: 1 }])
  }
  list()
  const server = directory.find('a')
  if (!server) throw new Error('server a is missing from the directory')
  const crashes = createCrashHistory(timers)
  const probes: number[] = []
  const watch = createBreakWatch({
    timers,
    events,
    directory,
    crashes,
    crashNotifier: createCrashNotifier(timers, () => {}),
    probe: async () => {
      probes.push(timers.nowMs())
      return await Promise.resolve(probe())
    }
  })
  const pass = async (durationMs: number): Promise<void> => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 50) {
      await new Promise(resolve => { setImmediate(resolve) })
      timers.advance(50)
    }
    await new Promise(resolve => { setImmediate(resolve) })
  }
  const breakRun = (identity = IDENTITY): void => { watch.watch(requestOf(identity), server).catch(() => {}) }
  return { timers, directory, crashes, probes, watch, list, unlist: () => { directory.takeKeys(new Set()) }, pass, breakRun, count: () => crashes.countsOf(IDENTITY).ownCount }
}

describe('a plain server that broke off a run', () => {
  it('has died if its address refuses connections', async () => {
    const { pass, breakRun, count } = setUp(() => ProbeResult.Refused)
    breakRun()
    await pass(50)
    expect(count()).to.equal(1)
  })

  it('has not died if it answers', async () => {
    // Guards against harmless requests that are refused because a living server reset their connections.
    const { pass, breakRun, probes, unlist, count } = setUp(() => ProbeResult.Alive)
    breakRun()
    await pass(100)
    unlist()
    await pass(12_000)
    expect(count()).to.equal(0)
    expect(probes).to.have.length(1)
  })

  it('has died in silence if its entry goes afterwards', async () => {
    const { pass, breakRun, unlist, count } = setUp(() => ProbeResult.Unclear)
    breakRun()
    await pass(2_000)
    expect(count()).to.equal(0)
    unlist()
    await pass(200)
    expect(count()).to.equal(1)
  })

  it('has not died if its entry goes in an outage of the store and comes back', async () => {
    // Guards against harmless requests that are refused after an outage of the store and of links at the same time.
    const { timers, directory, pass, breakRun, list, unlist, count } = setUp(() => ProbeResult.Unclear)
    const doubtUntil = (untilMs: number): void => { directory.missingEntries.setDoubt({ untilMs, keepUntilMs: () => Infinity, reason: 'an outage' }) }
    breakRun()
    doubtUntil(Infinity)
    unlist()
    await pass(4_000)
    doubtUntil(timers.nowMs() + RELIST_GRACE_MS)
    await pass(1_000)
    list()
    await pass(8_000)
    expect(count()).to.equal(0)
  })

  it('has not died if it was draining before', async () => {
    // Guards against refusing callers whose requests met two planned stops.
    const { timers, pass, breakRun, list, count } = setUp(() => ProbeResult.Refused)
    list({ isDraining: true })
    timers.advance(2_000)
    breakRun()
    await pass(200)
    expect(count()).to.equal(0)
  })

  it('is checked once for all its broken runs', async () => {
    // Guards against a health check for each request of a dead server.
    const { pass, breakRun, probes, count, crashes } = setUp(() => ProbeResult.Refused)
    const other = { contentHash: 'g', callerId: 'c' }
    breakRun()
    breakRun(other)
    await pass(100)
    expect(probes).to.have.length(1)
    expect([count(), crashes.countsOf(other).ownCount]).to.deep.equal([1, 1])
  })

  it('shows nothing of a request that was answered meanwhile', async () => {
    const { pass, breakRun, unlist, watch, count } = setUp(() => ProbeResult.Unclear)
    breakRun()
    await pass(1_000)
    watch.forget(IDENTITY)
    unlist()
    await pass(1_000)
    expect(count()).to.equal(0)
  })

  it('is known as broken, so that requests sent to it later are not blamed', async () => {
    // Guards against refusing requests that were sent to a dead server while it was still listed.
    const { pass, breakRun, watch } = setUp(() => ProbeResult.Refused)
    const start = { serverId: 'a', startedAtUnixMs: undefined }
    expect(watch.isBroken(start)).to.equal(false)
    breakRun()
    expect(watch.isBroken(start)).to.equal(true)
    await pass(3_000)
    expect(watch.isBroken(start)).to.equal(true)
  })

  it('is not broken any more once it has answered', async () => {
    const { pass, breakRun, watch } = setUp(() => ProbeResult.Alive)
    breakRun()
    await pass(100)
    expect(watch.isBroken({ serverId: 'a', startedAtUnixMs: undefined })).to.equal(false)
  })

  it('is watched for a while only', async () => {
    const { pass, breakRun, unlist, count } = setUp(() => ProbeResult.Unclear)
    breakRun()
    await pass(11_000)
    unlist()
    await pass(1_000)
    expect(count()).to.equal(0)
  })
})
