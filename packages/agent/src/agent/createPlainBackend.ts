import { findService } from '@figmount/records'
import { RefusalReason, WaitState } from '@figmount/schema'

import { AgentEvent } from '../events.js'
import { createCallPlain } from '../plain/callPlain.js'
import { probeService } from '../plain/probeService.js'
import { runOnPlain } from '../running/runOnPlain.js'
import { notRun } from './refusals.js'

import type { BackendView } from './createDispatcher.js'
import type { AgentContext } from './types.js'

interface Options {
  readonly context: AgentContext
  readonly queuedMs: () => number
  /** Called once each time the service process ends. */
  readonly onDeath: (incarnation: string) => void
}

/** Creates the backend for a plain HTTP service, which has no models to load and no slots. */
export const createPlainBackend = ({ context, queuedMs, onDeath }: Options): BackendView => {
  const { settings, timers, events, records, instance, incarnation } = context
  const { address, services } = settings.backend
  let deathCount = 0
  const serviceIncarnation = (): string => `${incarnation}.${deathCount}`

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
    run: runOnPlain({ address, callPlain: createCallPlain(address, timers), probe: async () => await probeService(address, timers), incarnation: serviceIncarnation }),
    onRunFault: end => {
      // Other calls that the same crash interrupted carry the previous incarnation and are not reported again.
      if (end.kind !== 'interrupted' || !end.died || end.incarnation !== serviceIncarnation()) return
      events.emit(AgentEvent.engineDied, { peer: address, detail: end.incarnation })
      onDeath(end.incarnation)
      deathCount += 1
    }
  }
}
