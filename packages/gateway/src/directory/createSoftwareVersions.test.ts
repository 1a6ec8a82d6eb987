import { expect } from 'chai'
import { createVirtualTimers } from '@figmount/base'

import { createSoftwareVersions } from './createSoftwareVersions.js'

import type { ServerEntry } from '@figmount/fleet'

const SERVICE = 's'
const RETENTION_MS = 120_000

const listed = (...softwareVersions: readonly string[]): readonly ServerEntry[] =>
  softwareVersions.map(softwareVersion => ({ serviceName: SERVICE, softwareVersion }) as ServerEntry)

const setUp = () => {
  const timers = createVirtualTimers()
  const versions = createSoftwareVersions(timers)
  const of = (...softwareVersions: readonly string[]): readonly string[] => [...versions.of(SERVICE, listed(...softwareVersions))].sort()
  const record = (softwareVersions: readonly string[], lone?: { readonly softwareVersion: string, readonly untilUnixMs: number }): void => {
    versions.takeRecorded([{ serviceName: SERVICE, softwareVersions, lone }])
  }
  return { timers, versions, of, record }
}

describe('the software versions of a service', () => {
  it('are not known before the records of earlier starts were read', () => {
    // Guards against an empty memory that counts as a fact.
    const { versions, of, record } = setUp()
    of('v2')
    expect(versions.areKnown()).to.equal(false)
    record([])
    expect(versions.areKnown()).to.equal(true)
  })

  it('hold those that were recorded, for as long as their streams may be taken up', () => {
    const { timers, of, record } = setUp()
    record(['v1', 'v2'])
    expect(of('v2')).to.deep.equal(['v1', 'v2'])
    timers.advance(RETENTION_MS + 1)
    expect(of('v2')).to.deep.equal(['v2'])
  })

  it('show which one served alone before others came, also when that was before the start', () => {
    const { timers, versions, of, record } = setUp()
    of('v2')
    record(['v1'])
    expect(versions.loneBefore(SERVICE)).to.equal(undefined)
    of('v2')
    expect(versions.loneBefore(SERVICE)?.softwareVersion).to.equal('v1')
    timers.advance(RETENTION_MS)
    expect(versions.loneBefore(SERVICE)).to.equal(undefined)
  })

  it('show nothing of the kind where several served when the records were written', () => {
    const { versions, of, record } = setUp()
    of('v2')
    record(['v1', 'v2'])
    of('v2')
    expect(versions.loneBefore(SERVICE)).to.equal(undefined)
  })

  it('keep the age of what another router has recorded', () => {
    const { timers, versions, record } = setUp()
    record(['v1', 'v2'], { softwareVersion: 'v1', untilUnixMs: timers.unixMs() - 50_000 })
    expect(versions.loneBefore(SERVICE)?.othersForMs).to.be.at.least(50_000)
    timers.advance(RETENTION_MS - 50_000)
    expect(versions.loneBefore(SERVICE)).to.equal(undefined)
  })
})
