import type { InstanceName, LogOffset } from '@figmount/base'
import type { Gate } from '../callers/createGate.js'
import type { AgentLinks } from '../links/createAgentLinks.js'
import type { Membership } from '../membership/createMembership.js'
import type { StatusSources } from '../operators/describeStatus.js'
import type { RouterPeers } from '../peers/createRouterPeers.js'
import type { RouterParts } from './types.js'

interface Options {
  readonly parts: RouterParts
  readonly membership: Membership
  readonly links: AgentLinks
  readonly peers: RouterPeers
  readonly gate: Gate
  readonly isStopping: () => boolean
}

/** Returns the highest offset that an instance is known to have applied, from links and from other routers' reports. */
const appliedOffsetOf = ({ links, peers }: Options, instance: InstanceName): LogOffset | undefined => {
  const views = [...peers.views().values()]
  const own = links.viewOf(instance)?.appliedOffset
  const offsets = [own, peers.views().get(instance)?.appliedOffset, ...views.map(view => view.agentOffsets.get(instance))]
  const known = offsets.flatMap(offset => offset === undefined ? [] : [offset])
  return known.length > 0 ? Math.max(...known) as LogOffset : undefined
}

/** Maximum number of agents that one status call opens links to; others are covered only by neighbours' reports. */
const MAX_LINKED_AGENTS = 30

/**
 * Opens links to agents without a known offset, so that the next status includes them. Otherwise an
 * agent that receives no requests would never appear to have applied the configuration.
 */
const linkUnknownAgents = (options: Options): void => {
  let linkedCount = 0
  for (const [name, listed] of options.membership.list().instances) {
    if (listed.role !== 'agent' || linkedCount >= MAX_LINKED_AGENTS) continue
    if (appliedOffsetOf(options, name)) continue
    options.links.linkTo(name).keepOpen()
    linkedCount += 1
  }
}

/** Collects the sources of the status for operators. */
export const createStatusSources = (options: Options): StatusSources => {
  const { parts, membership, links, gate } = options
  return {
    instance: parts.instance,
    dataCentre: parts.settings.process.data_centre,
    isStopping: options.isStopping,
    requestCount: gate.count,
    records: parts.records,
    list: membership.list,
    linkUnknownAgents: () => linkUnknownAgents(options),
    viewOf: links.viewOf,
    appliedOffsetOf: instance => appliedOffsetOf(options, instance),
    metrics: parts.metrics,
    timers: parts.timers
  }
}
