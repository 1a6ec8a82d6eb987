import { packMessage } from '@figmount/peers'

import { READY_AGENT_SHARE, RELAY_COUNT, UNLISTED_TIMEOUT_MS } from './constants.js'
import { createAgentLink } from './createAgentLink.js'

import type { RouterMessage, ServerEntry } from '@figmount/fleet'
import type { LinkContext, PackedMessage } from '@figmount/peers'
import type { AgentHandlers, AgentLink } from './types.js'

interface Options {
  /** Agents of all instances listen on the same port. */
  readonly agentPort: number
  readonly context: LinkContext
  readonly handlers: AgentHandlers
}

/** Links to the agents of all listed engines. */
export interface AgentLinks {
  /** Opens links to the agents of new servers and closes those of servers that were not listed for a while. */
  readonly follow: (entries: readonly ServerEntry[], hasAgent: (entry: ServerEntry) => boolean) => void
  readonly find: (serverAddress: string) => AgentLink | undefined
  /** Sends each connected agent its message, if there is one; `isNewLink` is true for the first call after a link was opened. */
  readonly sendToEach: (messageFor: (serverAddress: string, isNewLink: boolean) => RouterMessage | undefined) => void
  /** Sends a message to a few agents, which pass it on to all other routers. */
  readonly relay: (message: RouterMessage) => void
  /** Sends a message to all connected agents. */
  readonly sendToAll: (message: RouterMessage) => void
  /** Engine addresses of the agents whose links are open. */
  readonly openAddresses: () => readonly string[]
  /** Some agent's link is open. */
  readonly isLinked: () => boolean
  /** Nearly all agents have sent their engines' state; false while no agent is known. */
  readonly isReady: () => boolean
  readonly close: () => void
}

/** Creates the links of one router. */
export const createAgentLinks = ({ agentPort, context, handlers }: Options): AgentLinks => {
  const links = new Map<string, AgentLink>()
  const listedMs = new Map<string, number>()

  const open = (serverAddress: string): void => {
    const [host = ''] = serverAddress.split(':')
    links.set(serverAddress, createAgentLink({ serverAddress, agentAddress: `${host}:${agentPort}`, context, handlers }))
  }

  const drop = (serverAddress: string): void => {
    links.get(serverAddress)?.close()
    links.delete(serverAddress)
    listedMs.delete(serverAddress)
    handlers.lost(serverAddress)
  }

  return {
    follow: (entries, hasAgent) => {
      const nowMs = context.timers.nowMs()
      for (const entry of entries) {
        if (!hasAgent(entry)) continue
        listedMs.set(entry.address, nowMs)
        if (!links.has(entry.address)) open(entry.address)
      }
      for (const [address, atMs] of [...listedMs]) {
        if (nowMs - atMs > UNLISTED_TIMEOUT_MS) drop(address)
      }
    },
    find: serverAddress => links.get(serverAddress),
    sendToEach: messageFor => {
      // Most agents get the same message: it is packed once.
      const packed = new Map<RouterMessage, PackedMessage<RouterMessage>>()
      for (const [serverAddress, link] of links) {
        if (!link.isOpen()) continue
        const message = messageFor(serverAddress, link.takeIsNew())
        if (!message) continue
        const known = packed.get(message) ?? packMessage(context, message)
        packed.set(message, known)
        link.sendPacked(known)
      }
    },
    relay: message => {
      let sent = 0
      for (const link of links.values()) {
        if (sent >= RELAY_COUNT) return
        if (link.send(message)) sent += 1
      }
    },
    sendToAll: message => {
      const packed = packMessage(context, message)
      for (const link of links.values()) link.sendPacked(packed)
    },
    openAddresses: () => [...links].filter(([, link]) => link.isOpen()).map(([address]) => address),
    isLinked: () => {
      for (const link of links.values()) {
        if (link.isOpen()) return true
      }
      return false
    },
    isReady: () => {
      let readyCount = 0
      for (const link of links.values()) readyCount += Number(link.hasState())
      return readyCount > 0 && readyCount >= links.size * READY_AGENT_SHARE
    },
    close: () => {
      for (const link of links.values()) link.close()
    }
  }
}
