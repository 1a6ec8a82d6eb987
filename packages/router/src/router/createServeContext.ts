import { createReadBarrier, makeAttemptId } from '@figmount/base'

import { createCallerShares } from '../retries/createCallerShares.js'
import { createRefusalLog } from '../retries/createRefusalLog.js'
import { createRetryBudgets } from '../retries/createRetryBudgets.js'
import { createEstimates } from '../routing/createEstimates.js'
import { createPrefixMap } from '../routing/createPrefixMap.js'
import { createSendLog } from '../routing/createSendLog.js'

import type { DataCentre } from '@figmount/base'
import type { AgentLinks } from '../links/createAgentLinks.js'
import type { Membership } from '../membership/createMembership.js'
import type { ServeContext } from '../requests/types.js'
import type { Suspects } from '../suspects/types.js'
import type { RouterParts } from './types.js'

interface Options {
  readonly parts: RouterParts
  readonly membership: Membership
  readonly links: AgentLinks
  readonly suspects: Suspects
}

/** Creates the context for serving requests: the router's dependencies and its state from earlier requests. */
export const createServeContext = ({ parts, membership, links, suspects }: Options): ServeContext => {
  const { settings, instance, incarnation, records, timers, events, metrics, random } = parts
  const prefixes = createPrefixMap()
  const sends = createSendLog()
  let attemptCount = 0
  return {
    instance,
    records,
    links,
    sourcesFor: (model, prefixHint) => {
      const prefixHolder = prefixes.holderOf(model, prefixHint)
      return {
        agents: records.state().agents,
        list: membership.list(),
        viewOf: links.viewOf,
        unreportedSeconds: sends.unreportedSeconds,
        hasPrefix: agent => agent === prefixHolder,
        ownDataCentre: settings.process.data_centre as DataCentre,
        nowMs: timers.nowMs()
      }
    },
    sends,
    prefixes,
    estimates: createEstimates(),
    suspects,
    refusals: createRefusalLog(),
    budgets: createRetryBudgets(),
    shares: createCallerShares(settings.limits.admitted_count),
    chooseBackend: parts.chooseBackend,
    chooseRetryAfter: parts.chooseRetryAfter,
    newAttemptId: () => makeAttemptId(instance, incarnation, attemptCount++),
    random,
    timers,
    reads: createReadBarrier(timers),
    events,
    metrics
  }
}
