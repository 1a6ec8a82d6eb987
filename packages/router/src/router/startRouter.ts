import { serveRpc, sleep } from '@figmount/base'
import { acceptLinks } from '@figmount/peers'
import { Inference, Operator } from '@figmount/schema'

import { createGate } from '../callers/createGate.js'
import { createInference } from '../callers/createInference.js'
import { createMembership } from '../membership/createMembership.js'
import { createOperator } from '../operators/createOperator.js'
import { createPlainHandler } from '../plain/createPlainHandler.js'
import { createSuspects } from '../suspects/createSuspects.js'
import { createNetwork } from './createNetwork.js'
import { createServeContext } from './createServeContext.js'
import { createStatusSources } from './createStatusSources.js'
import { startTasks } from './startTasks.js'
import { stopRouter } from './stopRouter.js'

import type { RunningProcess } from '@figmount/base'
import type { RouterToRouterMessage } from '@figmount/peers'
import type { RouterParts } from './types.js'

/** Time after the last request has ended until busy connections are closed. */
const CLOSE_WAIT_MS = 500

/** Returns the maximum size of an RPC message: a prompt, whose JSON encoding may be twice as long, plus the other fields. */
const maxMessageBytesFor = (promptBytes: number): number => promptBytes * 2 + 64 * 1024

/** Assembles a router from its parts and starts it. */
export const startRouter = async (parts: RouterParts): Promise<RunningProcess> => {
  const { settings, instance, records, timers, events, metrics } = parts
  const { limits } = settings
  const stopping = new AbortController()
  let isDraining = false
  const gate = createGate(timers, limits.admitted_count)
  const membership = createMembership(records.state)
  const suspects = createSuspects({ state: records.state, unixMs: timers.unixMs })
  const network = createNetwork({ parts, membership, suspects, isDraining: () => isDraining })
  const { links, peers } = network
  const context = createServeContext({ parts, membership, links, suspects })
  const status = createStatusSources({ parts, membership, links, peers, gate, isStopping: () => isDraining })
  const server = await serveRpc({
    context: parts,
    host: settings.process.host,
    port: settings.process.port,
    routes: router => {
      router.service(Inference, createInference({ context, gate, limits }))
      router.service(Operator, createOperator({ records, events, timers, operatorKeys: settings.trust.operator_keys, status, stopping: stopping.signal }))
    },
    metrics,
    isHealthy: () => !isDraining,
    handlePlain: createPlainHandler({ context, gate, limits }),
    maxMessageBytes: maxMessageBytesFor(limits.prompt_bytes)
  })
  acceptLinks<RouterToRouterMessage, RouterToRouterMessage>(server.server, network.acceptContext, peers.accept)
  metrics.gauge('requests_running', gate.count)
  metrics.gauge('agent_links_open', () => links.views().filter(view => view.isOpen).length)
  const stopTasks = startTasks({ parts, membership, network, suspects })

  const announceLeaving = (): void => {
    peers.broadcast({ type: 'leaving', instance })
    peers.announce()
  }

  return {
    address: server.address,
    stop: async () => {
      isDraining = true
      await stopRouter({ settings: settings.stop, gate, timers, events, announce: announceLeaving })
      stopping.abort()
      stopTasks()
      links.stop()
      peers.stop()
      records.stop()
      await Promise.race([server.close(), sleep(timers, CLOSE_WAIT_MS)])
      server.server.closeAllConnections()
    }
  }
}
