import { createAgentLink } from './createAgentLink.js'

import type { InstanceName } from '@figmount/base'
import type { AgentLinkOptions } from './createAgentLink.js'
import type { AgentLink, AgentView } from './types.js'

/** The links to all agents that this router has had to do with. */
export interface AgentLinks {
  readonly linkTo: (instance: InstanceName) => AgentLink
  /** What is known of an agent; undefined if it was never needed. */
  readonly viewOf: (instance: InstanceName) => AgentView | undefined
  readonly views: () => readonly AgentView[]
  /** Ends links to agents that are gone for good. */
  readonly forget: (isGone: (instance: InstanceName) => boolean) => void
  readonly stop: () => void
}

/** Makes the links of one router; none is open before it is needed. */
export const createAgentLinks = (options: Omit<AgentLinkOptions, 'instance'>): AgentLinks => {
  const links = new Map<InstanceName, AgentLink>()

  const linkTo = (instance: InstanceName): AgentLink => {
    const known = links.get(instance)
    if (known) return known
    const made = createAgentLink({ ...options, instance })
    links.set(instance, made)
    return made
  }

  return {
    linkTo,
    viewOf: instance => links.get(instance)?.view(),
    views: () => [...links.values()].map(link => link.view()),
    forget: isGone => {
      for (const [instance, link] of links) {
        if (link.view().isOpen || !isGone(instance)) continue
        link.stop('instance is gone')
        links.delete(instance)
      }
    },
    stop: () => {
      for (const link of links.values()) link.stop('router stops')
    }
  }
}
