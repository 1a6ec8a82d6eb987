import { EitherAsync, Left } from 'purify-ts'
import { FaultKind, makeFault } from '@figmount/base'
import { openLink } from '@figmount/peers'

import type { Fault, InstanceName, LogOffset } from '@figmount/base'
import type { RouterToRouterMessage, LinkContext } from '@figmount/peers'
import type { DialAgent } from '../links/types.js'
import type { Membership } from '../membership/createMembership.js'
import type { RouterLink } from '../peers/createRouterPeers.js'

interface Dials {
  readonly dialAgent: DialAgent
  readonly dialRouter: (instance: InstanceName) => EitherAsync<Fault, RouterLink>
}

const unlisted = (instance: InstanceName): EitherAsync<Fault, never> =>
  EitherAsync.liftEither(Left(makeFault(FaultKind.NotFound, 'links.open', instance, 'the instance list names no address')))

/** Creates functions that dial instances at the addresses of the platform's instance list. */
export const createDials = (context: LinkContext, membership: Membership, onRouterOffset: (link: RouterLink, offset: LogOffset) => void): Dials => ({
  dialAgent: (instance, onOffset) => {
    const address = membership.peerAddressOf(instance)
    if (!address) return unlisted(instance)
    return openLink(address, { ...context, onPeerOffset: (_peer, offset) => onOffset(offset) })
  },
  dialRouter: instance => {
    const address = membership.peerAddressOf(instance)
    if (!address) return unlisted(instance)
    let link: RouterLink | undefined
    const opened = openLink<RouterToRouterMessage, RouterToRouterMessage>(address, {
      ...context,
      onPeerOffset: (_peer, offset) => { if (link) onRouterOffset(link, offset) }
    })
    return opened.map(made => {
      // Identifies the peer by its instance name, as on accepted links, instead of by its address.
      link = { ...made, peer: instance }
      return link
    })
  }
})
