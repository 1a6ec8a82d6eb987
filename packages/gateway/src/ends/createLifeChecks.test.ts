import { ProbeResult } from '@figmount/decisions'
import { expect } from 'chai'

import { createLifeChecks } from './createLifeChecks.js'

import type { ServerEntry } from '@figmount/fleet'

const server = (serverId: string) => ({ start: { serverId, startedAtUnixMs: 1 }, entry: { serverId } as unknown as ServerEntry })

const setUp = () => {
  const probes: Array<(result: ProbeResult) => void> = []
  const checks = createLifeChecks(async () => await new Promise(resolve => { probes.push(resolve) }))
  return { checks, probes }
}

const settle = async (): Promise<void> => { await new Promise(resolve => { setImmediate(resolve) }) }

describe('checks whether a server lives', () => {
  it('send one for all answers that end while another one is in progress', async () => {
    const { checks, probes } = setUp()
    const first = checks.check(server('a'))
    const later = [checks.check(server('a')), checks.check(server('a'))]
    expect(probes).to.have.length(1)
    probes[0]?.(ProbeResult.Alive)
    expect(await first).to.equal(ProbeResult.Alive)
    await settle()
    expect(probes).to.have.length(2)
    probes[1]?.(ProbeResult.Refused)
    expect(await Promise.all(later)).to.deep.equal([ProbeResult.Refused, ProbeResult.Refused])
  })

  it('do not take a check for an answer that ended after it was sent', async () => {
    // Guards against a server that answers a check, dies, and closes the connection of an answer.
    const { checks, probes } = setUp()
    const early = checks.check(server('a'))
    const late = checks.check(server('a'))
    probes[0]?.(ProbeResult.Alive)
    expect(await early).to.equal(ProbeResult.Alive)
    await settle()
    probes[1]?.(ProbeResult.Refused)
    expect(await late).to.equal(ProbeResult.Refused)
  })

  it('do not wait for those of another server', () => {
    const { checks, probes } = setUp()
    checks.check(server('a')).catch(() => {})
    checks.check(server('b')).catch(() => {})
    expect(probes).to.have.length(2)
  })
})
