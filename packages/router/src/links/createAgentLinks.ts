import { HEARTBEAT_MS } from '@figmount/peers'

import { MAX_IDLE_LINKS, REPORTS_PER_SECOND } from './constants.js'
import { createAgentLink } from './createAgentLink.js'

import type { InstanceName } from '@figmount/base'
import type { AgentLinkOptions } from './createAgentLink.js'
import type { AgentLink, AgentView } from './types.js'

/** The links to all agents that this router has used. */
export interface AgentLinks {
  readonly linkTo: (instance: InstanceName) => AgentLink
  /** Last known state of an agent; undefined if no link to it was ever requested. */
  readonly viewOf: (instance: InstanceName) => AgentView | undefined
  readonly views: () => readonly AgentView[]
  /** Stops and removes closed links to agents that are permanently gone. */
  readonly forget: (isGone: (instance: InstanceName) => boolean) => void
  readonly stop: () => void
}

/** Interval between checks for idle links above the limit. */
const TRIM_PERIOD_MS = 1_000

const MS_PER_SECOND = 1000

/** Creates the links of one router; each is opened on demand. */
export const createAgentLinks = (options: Omit<AgentLinkOptions, 'instance' | 'reportPeriodMs'>): AgentLinks => {
  const links = new Map<InstanceName, AgentLink>()
  let openCount = 0

  const reportPeriodMs = (): number => Math.max(HEARTBEAT_MS, openCount * MS_PER_SECOND / REPORTS_PER_SECOND)

  const closeSurplusIdleLinks = (): void => {
    const idle = [...links.values()].flatMap(link => {
      const sinceMs = link.idleSinceMs()
      return sinceMs === undefined ? [] : [{ link, sinceMs }]
    })
    const surplus = idle.length - MAX_IDLE_LINKS
    if (surplus <= 0) return
    for (const { link } of idle.sort((a, b) => a.sinceMs - b.sinceMs).slice(0, surplus)) link.release('idle')
  }

  const stopTrimming = options.timers.every(TRIM_PERIOD_MS, () => {
    openCount = [...links.values()].filter(link => link.view().isOpen).length
    closeSurplusIdleLinks()
  })

  const linkTo = (instance: InstanceName): AgentLink => {
    const known = links.get(instance)
    if (known) return known
    const created = createAgentLink({ ...options, instance, reportPeriodMs })
    links.set(instance, created)
    return created
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
      stopTrimming()
      for (const link of links.values()) link.stop('router stops')
    }
  }
}
