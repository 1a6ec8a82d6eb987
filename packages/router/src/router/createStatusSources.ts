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

/** Where a configuration is known to be in force: what links carry and what other routers have heard. */
const appliedOffsetOf = ({ links, peers }: Options, instance: InstanceName): LogOffset | undefined => {
  const views = [...peers.views().values()]
  const own = links.viewOf(instance)?.appliedOffset
  const offsets = [own, peers.views().get(instance)?.appliedOffset, ...views.map(view => view.agentOffsets.get(instance))]
  const known = offsets.flatMap(offset => offset === undefined ? [] : [offset])
  return known.length > 0 ? Math.max(...known) as LogOffset : undefined
}

/** Agents that one status looks for besides those with a link; more are heard of through neighbours only. */
const MAX_SOUGHT_AGENTS = 30

/**
 * Opens links to agents of which nothing is known, so that the next status knows them. Without it an agent that
 * no request needs would seem to have no configuration in force for ever.
 */
const seekUnknown = (options: Options): void => {
  let soughtCount = 0
  for (const [name, listed] of options.membership.list().instances) {
    if (listed.role !== 'agent' || soughtCount >= MAX_SOUGHT_AGENTS) continue
    if (appliedOffsetOf(options, name)) continue
    options.links.linkTo(name).keepOpen()
    soughtCount += 1
  }
}

/** Gathers what the operators' status is made of. */
export const createStatusSources = (options: Options): StatusSources => {
  const { parts, membership, links, gate } = options
  return {
    instance: parts.instance,
    dataCentre: parts.settings.process.data_centre,
    isStopping: options.isStopping,
    requestCount: gate.count,
    records: parts.records,
    list: membership.list,
    seekUnknown: () => seekUnknown(options),
    viewOf: links.viewOf,
    appliedOffsetOf: instance => appliedOffsetOf(options, instance),
    metrics: parts.metrics,
    timers: parts.timers
  }
}
