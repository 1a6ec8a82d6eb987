import { createEventLog, createTimerService } from '@figmount/base'
import { NO_OFFSET, openLink } from '@figmount/peers'

import { createAgentLinks } from '../links/createAgentLinks.js'
import { BENCH_KEY } from './serveFakeAgents.js'

import type { Incarnation, InstanceName } from '@figmount/base'
import type { AgentLinks } from '../links/createAgentLinks.js'

const OPEN_MS = 2_000

/** Opens a router's links to the agents of `serveFakeAgents`, one per address; the first address belongs to agent `a0`. */
export const openBenchLinks = async (addresses: readonly string[]): Promise<AgentLinks> => {
  const timers = createTimerService()
  const instance = 'r1' as InstanceName
  const events = createEventLog({ instance, role: 'router', timers })
  const context = { instance, sharedKey: BENCH_KEY, timers, events, offset: () => NO_OFFSET, onPeerOffset: () => {} }
  const links = createAgentLinks({
    router: instance,
    routerIncarnation: '1' as Incarnation,
    dial: agent => openLink(addresses[Number(agent.slice(1))] ?? '', context),
    hooks: { onOffset: () => {}, onShared: () => {} },
    timers,
    events,
    random: Math.random
  })
  await Promise.all(addresses.map(async (_, index) => await links.linkTo(`a${index}` as InstanceName).whenOpen(OPEN_MS).run()))
  return links
}
