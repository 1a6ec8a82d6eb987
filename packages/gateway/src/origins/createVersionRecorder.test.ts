import { expect } from 'chai'
import { createEventLog, createVirtualTimers } from '@figmount/base'

import { createLeaseFeed, FeedMode } from '../../../sidecar/src/testing/createLeaseFeed.js'
import { createVersionRecorder } from './createVersionRecorder.js'

import type { InstanceName } from '@figmount/base'
import type { RecordedVersions } from './versionRecords.js'

const SERVICE = 's'

const versionsOf = (...softwareVersions: readonly string[]): RecordedVersions => ({ serviceName: SERVICE, softwareVersions, lone: undefined })

/** Routers that list the same versions. */
const setUp = () => {
  const timers = createVirtualTimers()
  const feed = createLeaseFeed(timers)
  const events = createEventLog({ instance: 'r' as InstanceName, role: 'router', timers, writeLine: () => {} })
  const restored = new Set<() => void>()
  let listed = versionsOf('v1')

  const join = (fails: { readonly take?: boolean, readonly listOnce?: boolean } = {}) => {
    let listFailsNext = fails.listOnce
    const recorded: RecordedVersions[][] = []
    const stop = createVersionRecorder({
      feed,
      timers,
      events,
      versions: () => {
        if (listFailsNext) {
          listFailsNext = false
          throw new RangeError('odd')
        }
        return [listed]
      },
      takeRecorded: taken => {
        if (fails.take) throw new RangeError('odd')
        recorded.push([...taken])
      },
      routerCount: () => 4,
      onRestored: listener => {
        restored.add(listener)
        return () => { restored.delete(listener) }
      },
      random: () => 0.5
    })
    return { recorded, stop }
  }
  const pass = async (durationMs: number): Promise<void> => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 10) {
      timers.advance(10)
      for (let turn = 0; turn < 10; turn++) await new Promise(resolve => { setImmediate(resolve) })
    }
  }
  const appendCount = (): number => feed.calls.filter(name => name === 'append').length
  const restore = (): void => { for (const listener of restored) listener() }
  return { feed, join, pass, appendCount, restore, list: (...softwareVersions: readonly string[]) => { listed = versionsOf(...softwareVersions) } }
}

describe('the record of software versions', () => {
  it('tells a router that starts what was in service before', async () => {
    const { join, pass, list } = setUp()
    const first = join()
    await pass(1_000)
    list('v1', 'v2')
    await pass(1_000)
    first.stop()
    const second = join()
    await pass(1_000)
    expect(first.recorded).to.deep.equal([[]])
    expect(second.recorded).to.deep.equal([[versionsOf('v1', 'v2')]])
    second.stop()
  })

  it('is written once for each change, and read once by a router that knows nothing else', async () => {
    const { feed, join, pass, appendCount } = setUp()
    const first = join()
    await pass(5_000)
    expect(appendCount()).to.equal(1)
    const callCount = feed.calls.length
    const second = join()
    await pass(5_000)
    expect(feed.calls.length).to.equal(callCount + 1)
    first.stop()
    second.stop()
  })

  it('is written by a router whose other parts have failed on it', async () => {
    // Guards against versions that are never recorded again, and streams of two versions that are joined after a kill of all.
    for (const fails of [{ take: true }, { listOnce: true }]) {
      const { join, pass, appendCount } = setUp()
      const router = join(fails)
      await pass(2_000)
      expect(appendCount()).to.equal(1)
      router.stop()
    }
  })

  it('is read and written once the store answers', async () => {
    // Guards against a router that takes no answer for an empty record.
    const { feed, join, pass, appendCount } = setUp()
    feed.setMode(FeedMode.Down)
    const router = join()
    await pass(3_000)
    expect(router.recorded).to.deep.equal([])
    feed.setMode(FeedMode.Healthy)
    await pass(2_000)
    expect(router.recorded).to.deep.equal([[]])
    expect(appendCount()).to.equal(1)
    router.stop()
  })

  it('is written again after the store has come back from an older copy', async () => {
    const { feed, join, pass, list, restore } = setUp()
    const router = join()
    await pass(1_000)
    list('v1', 'v2')
    await pass(1_000)
    const lost = feed.append([{ key: SERVICE, value: undefined }], undefined, 1_000).run()
    await pass(100)
    await lost
    restore()
    await pass(1_000)
    const later = join()
    await pass(1_000)
    expect(later.recorded).to.deep.equal([[versionsOf('v1', 'v2')]])
    router.stop()
    later.stop()
  })

  it('is left alone by records of other writers', async () => {
    const { feed, join, pass } = setUp()
    const appended = feed.append([{ key: 'x', value: Buffer.from('{') }], undefined, 1_000).run()
    const router = join()
    await pass(1_000)
    await appended
    expect(router.recorded).to.deep.equal([[]])
    router.stop()
  })
})
