import { makeIncarnation, serveRpc } from '@figmount/base'
import { accountDecayed, admitByDeadline, backOffByNeed, evictLeastLoss, fairAhead, keepByHistory, limitLong, orderByNeed, pickFairShare, shedHopeless, spreadByDrainTime } from '@figmount/decisions'
import { acceptLinks } from '@figmount/peers'
import { createRecordsClient } from '@figmount/records'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'

import { createEngineClient } from '../engine/createEngineClient.js'
import { readListingFrom } from '../membership/watchInstances.js'
import { createAgent } from './createAgent.js'

import type { InstanceName, ProcessContext, RunningProcess } from '@figmount/base'
import type { AgentToRouterMessage, RouterToAgentMessage } from '@figmount/peers'
import type { AgentSettings } from '../settings/agentSettings.js'
import type { AgentContext, AgentDecisions } from './types.js'

/** The decision functions used in production. */
const chooseDecisions = (seed: number): AgentDecisions => {
  const generator = xoroshiro128plus(seed)
  return {
    admit: admitByDeadline,
    pickNext: pickFairShare,
    accountServed: accountDecayed,
    estimateAhead: fairAhead,
    limitLong,
    shedWaiting: shedHopeless,
    chooseRetryAfter: spreadByDrainTime,
    keepAlive: keepByHistory,
    chooseVictims: evictLeastLoss,
    orderLoads: orderByNeed,
    backOffLoad: backOffByNeed,
    random: () => uniformFloat64(generator)
  }
}

/** Starts an agent: reads the log, takes the inventory of its backend server and accepts connections from routers. */
export const startAgent = async ({ settings, events, timers, metrics, connections }: ProcessContext<AgentSettings>): Promise<RunningProcess> => {
  const instance = settings.process.instance as InstanceName
  const startedAtMs = timers.unixMs()
  const incarnation = makeIncarnation(startedAtMs)
  const records = createRecordsClient({ address: settings.platform.log, instance, incarnation, timers, events, metrics })
  const context: AgentContext = {
    settings, events, timers, metrics, records, instance, incarnation, decisions: chooseDecisions(startedAtMs)
  }
  const agent = createAgent({
    context,
    readListing: readListingFrom(settings.platform.instance_list),
    ...(settings.backend.kind === 'engine' ? { engine: createEngineClient(settings.backend.address) } : {})
  })
  const server = await serveRpc({ context: { timers, connections }, host: settings.process.host, port: settings.process.port, metrics, routes: () => {} })
  acceptLinks<AgentToRouterMessage, RouterToAgentMessage>(server.server, agent.linkContext, agent.runLink)
  return {
    address: server.address,
    stop: async () => {
      await agent.stop()
      records.stop()
      await server.close()
    }
  }
}
