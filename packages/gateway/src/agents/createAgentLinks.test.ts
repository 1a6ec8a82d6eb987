import { expect } from 'chai'
import { createEventLog, createVirtualTimers } from '@figmount/base'
import { NO_OFFSET } from '@figmount/peers'

import { createAgentLinks } from './createAgentLinks.js'

import type { InstanceName } from '@figmount/base'
import type { ServerEntry } from '@figmount/fleet'

/** Nobody listens there. */
const ADDRESS = '127.0.0.1:1'

const ENTRY: ServerEntry =
  { serverId: 'a', serviceName: 's', address: ADDRESS, dataCentre: 'east', slots: 1, isDraining: false, models: [] }

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
    handlers: { takeState: () => {}, takeLoad: () => {}, takeRelay: () => {}, takeCrash: () => {}, lost: address => { lost.push(address) } }
  })
  return { timers, links, lost }
}

describe('links to agents', () => {
  it('are not reached before the first one is known', () => {
    // A router starts and knows its configuration and servers, but has dialled no agent yet. Calling itself ready then, it
    // refused half of a burst for a model that had to be loaded: no agent could be asked.
    const { links } = setUp()
    expect(links.isReached()).to.equal(false)
    links.follow([ENTRY], () => true)
    expect(links.isReached()).to.equal(false)
    links.close()
  })

  it('are given up when their server was not listed for long', () => {
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

  it('refuse a want at once while the agent does not answer', async () => {
    const { links } = setUp()
    links.follow([ENTRY], () => true)
    const outcome = await links.find(ADDRESS)?.want({ serverId: 'a', modelName: 'm', adapterName: '', waitingCount: 1, gainPerS: 0, timeLeftMs: 100 })
    expect(outcome).to.deep.include({ isReady: false, isLost: true })
    links.close()
  })
})
