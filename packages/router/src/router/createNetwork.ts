import { RouterEvent } from '../events.js'
import { createAgentLinks } from '../links/createAgentLinks.js'
import { createExchange } from '../peers/createExchange.js'
import { createRouterPeers } from '../peers/createRouterPeers.js'
import { isLogFresh } from '../proposals/isLogFresh.js'
import { createDials } from './createDials.js'

import type { LinkContext } from '@figmount/peers'
import type { AgentLinks } from '../links/createAgentLinks.js'
import type { Membership } from '../membership/createMembership.js'
import type { Exchange } from '../peers/createExchange.js'
import type { RouterPeers } from '../peers/createRouterPeers.js'
import type { Suspects, Suspicion } from '../suspects/types.js'
import type { RouterParts } from './types.js'

interface Options {
  readonly parts: RouterParts
  readonly membership: Membership
  readonly suspects: Suspects
  readonly isDraining: () => boolean
}

/** The connections of a router to agents and other routers, and the exchange between them. */
export interface Network {
  readonly links: AgentLinks
  readonly peers: RouterPeers
  readonly exchange: Exchange
  /** Context for links dialled by other routers. */
  readonly acceptContext: LinkContext
}

const createSuspicionForwarder = (links: AgentLinks, peers: RouterPeers) => (suspicion: Suspicion, from: string): void => {
  const message = { type: 'suspect', ...suspicion } as const
  peers.broadcast(message, from)
  for (const view of links.views()) {
    if (view.isOpen && view.instance !== from) links.linkTo(view.instance).send(message)
  }
}

/** Creates the connections of a router without opening any. */
export const createNetwork = ({ parts, membership, suspects, isDraining }: Options): Network => {
  const { settings, instance, incarnation, records, timers, events, random } = parts
  const linkContext: LinkContext = {
    instance,
    sharedKey: settings.trust.shared_key,
    timers,
    events,
    offset: () => records.state().nextOffset,
    onPeerOffset: () => {}
  }
  const dials = createDials(linkContext, membership, (link, offset) => exchange.receiveOffset(offset, link.send))
  const links = createAgentLinks({
    router: instance,
    routerIncarnation: incarnation,
    dial: dials.dialAgent,
    hooks: {
      onOffset: (agent, offset) => exchange.receiveOffset(offset, message => links.linkTo(agent).send(message)),
      onShared: (agent, message) => exchange.take(agent, message, reply => links.linkTo(agent).send(reply))
    },
    timers,
    events,
    random
  })
  const peers = createRouterPeers({
    instance,
    incarnation,
    dial: dials.dialRouter,
    ownOffset: () => records.state().nextOffset,
    isDraining,
    canPropose: () => !isDraining() && isLogFresh(records, timers),
    agentOffsets: () => new Map(links.views().filter(view => view.isOpen).map(view => [view.instance, view.appliedOffset])),
    onShared: (peer, message, link) => exchange.take(peer, message, link.send),
    timers,
    events
  })
  const exchange = createExchange({
    records,
    suspects,
    timers,
    events,
    forwardSuspicion: createSuspicionForwarder(links, peers),
    onLeaving: peer => events.emit(RouterEvent.peerLeaving, { peer })
  })
  const acceptContext: LinkContext = {
    ...linkContext,
    onPeerOffset: (peer, offset) => exchange.receiveOffset(offset, message => peers.sendTo(peer, message))
  }
  return { links, peers, exchange, acceptContext }
}
