import { findService } from '@figmount/records'
import { RefusalReason, WaitState } from '@figmount/schema'

import { createPlainCaller } from '../plain/callPlain.js'
import { runOnPlain } from '../running/runOnPlain.js'
import { notRun } from './refusals.js'

import type { BackendView } from './createDispatcher.js'
import type { AgentContext } from './types.js'

/** Makes the part that serves a plain HTTP service; there is nothing to load and no slot to hold. */
export const createPlainBackend = (context: AgentContext, queuedMs: () => number): BackendView => {
  const { settings, timers, records, instance } = context
  const { address, services } = settings.backend
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
    run: runOnPlain(address, createPlainCaller(address, timers)),
    onRunFault: () => {}
  }
}
