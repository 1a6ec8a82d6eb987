import { findService } from '@figmount/records'
import { RefusalReason, WaitState } from '@figmount/schema'

import { AgentEvent } from '../events.js'
import { createPlainCaller } from '../plain/callPlain.js'
import { probeService } from '../plain/probeService.js'
import { runOnPlain } from '../running/runOnPlain.js'
import { notRun } from './refusals.js'

import type { BackendView } from './createDispatcher.js'
import type { AgentContext } from './types.js'

interface Options {
  readonly context: AgentContext
  readonly queuedMs: () => number
  /** Called once for each death of the service. */
  readonly onDeath: (incarnation: string) => void
}

/** Makes the part that serves a plain HTTP service; there is nothing to load and no slot to hold. */
export const createPlainBackend = ({ context, queuedMs, onDeath }: Options): BackendView => {
  const { settings, timers, events, records, instance, incarnation } = context
  const { address, services } = settings.backend
  let deathCount = 0
  const serviceRun = (): string => `${incarnation}.${deathCount}`

  return {
    isUp: () => true,
    batchSize: () => Math.max(1, settings.limits.plain_concurrency),
    canStart: () => true,
    versionOf: () => '',
    refusalFor: ({ request }) => {
      const service = findService(records.state(), request.service)
      if (service?.kind === 'plain' && services.includes(request.service)) return undefined
      return notRun({ reason: RefusalReason.UNKNOWN_TARGET, detail: `no plain service ${request.service} here`, step: 'plain.find', peer: instance, retryAfterMs: 0 })
    },
    progressOf: () => ({ state: WaitState.QUEUED, estimatedWaitMs: Math.round(queuedMs()) }),
    readyInMs: () => 0,
    onUse: () => {},
    run: runOnPlain({ address, callPlain: createPlainCaller(address, timers), probe: async () => await probeService(address, timers), incarnation: serviceRun }),
    onRunFault: end => {
      // Calls that the same death broke off find the run counted up and are not reported again.
      if (end.kind !== 'interrupted' || !end.died || end.incarnation !== serviceRun()) return
      events.emit(AgentEvent.engineDied, { peer: address, detail: end.incarnation })
      onDeath(end.incarnation)
      deathCount += 1
    }
  }
}
