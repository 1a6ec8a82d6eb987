import { runInBackground } from '@figmount/base'
import { createAttemptStore } from '../attempts/createAttemptStore.js'
import { createAuthority } from '../authority/createAuthority.js'
import { createLinkRegistry } from '../links/createLinkRegistry.js'
import { createStartHold } from '../links/createStartHold.js'
import { runRouterLink } from '../links/runRouterLink.js'
import { createDrain } from '../leaving/createDrain.js'
import { watchInstances } from '../membership/watchInstances.js'
import { KEY_SWEEP_MS } from '../once/constants.js'
import { createPermitLedger } from '../once/createPermitLedger.js'
import { PROGRESS_MS, PUMP_MS } from '../queueing/constants.js'
import { createQueue } from '../queueing/createQueue.js'
import { createLoadRequests } from '../queueing/createLoadRequests.js'
import { viewDemands } from '../queueing/viewDemands.js'
import { createEstimates } from '../queueing/createEstimates.js'
import { secondsAhead, totalSeconds, queuedTokens } from '../queueing/workAhead.js'
import { makeReport } from '../reporting/makeReport.js'
import { createReliableAppender } from '../rights/appendReliably.js'
import { createRightsKeeper } from '../rights/createRightsKeeper.js'
import { isAnnounced, keepAnnounced } from '../rights/keepAnnounced.js'
import { findSlot } from '../loading/slots.js'
import { createSuspectTracker } from '../suspects/createSuspectTracker.js'
import { createAdmission, targetOf } from './createAdmission.js'
import { createDispatcher } from './createDispatcher.js'
import { createEngineBackend } from './createEngineBackend.js'
import { createPlainBackend } from './createPlainBackend.js'

import type { ModelId } from '@figmount/base'
import type { AgentReport, LinkContext } from '@figmount/peers'
import type { EngineClient } from '../engine/types.js'
import type { RouterLink } from '../links/createLinkRegistry.js'
import type { Demand } from '../loading/types.js'
import type { LoadRequest } from '../queueing/createLoadRequests.js'
import type { ReadListing } from '../membership/watchInstances.js'
import type { AgentContext } from './types.js'
import type { EngineBackend } from './createEngineBackend.js'

const BYTES_PER_MB = 1024 * 1024
const MS_PER_SECOND = 1000

interface Options {
  readonly context: AgentContext
  /** Left out for a plain service. */
  readonly engine?: EngineClient
  readonly readListing: ReadListing
}

/** A running agent, not yet listening on a port. */
export interface Agent {
  readonly linkContext: LinkContext
  readonly runLink: (link: RouterLink) => Promise<void>
  readonly report: () => AgentReport
  /** Refuses new work, finishes running and queued work, and stops. */
  readonly stop: () => Promise<void>
}

/** Creates an agent from its parts and connects them. */
export const createAgent = ({ context, engine, readListing }: Options): Agent => {
  const { settings, events, timers, metrics, records, decisions, instance, incarnation } = context
  const stopping = new AbortController()
  const append = createReliableAppender(context, stopping.signal)
  const links = createLinkRegistry(timers, () => records.state().nextOffset)
  const attempts = createAttemptStore({ timers, events, maxKeptBytes: settings.limits.kept_answers_mb * BYTES_PER_MB })
  const estimates = createEstimates(timers)
  const queue = createQueue({ ...decisions, timers, estimates })
  const loadRequests = createLoadRequests(timers)
  let sequence = 0
  let demands: ReadonlyMap<ModelId, Demand> | undefined

  const instances = watchInstances({
    instance, timers, events, periodMs: settings.tuning.list_ms, read: readListing, onChange: () => onStateChange()
  })
  const authority = createAuthority({ timers, events, confirmedAtMs: records.confirmedAtMs, listed: () => instances.current().listed })
  const suspects = createSuspectTracker({
    context,
    append,
    notifyRouters: suspicion => links.sendAll({ type: 'suspect', instance, ...suspicion })
  })

  /** Load requests of models that are not ready yet; an empty version becomes the configured current one. */
  const openLoadRequests = (): readonly LoadRequest[] => {
    if (!engineBackend) return []
    const open: LoadRequest[] = []
    for (const loadRequest of loadRequests.current()) {
      const version = loadRequest.version === '' ? engineBackend.planOf(loadRequest.model)?.spec.currentVersion ?? '' : loadRequest.version
      const slot = findSlot(engineBackend.loader.state(), loadRequest.model)
      if (slot.phase === 'ready' && slot.version === version) loadRequests.settle(loadRequest.model)
      else open.push({ ...loadRequest, version })
    }
    return open
  }

  const currentDemands = (): ReadonlyMap<ModelId, Demand> => {
    demands ??= viewDemands(queue.all(), dispatcher.running(), attempt => backend.versionOf(attempt), openLoadRequests())
    return demands
  }

  const work = (): Parameters<typeof totalSeconds>[0] => ({
    queued: queue.all(),
    running: dispatcher.running(),
    pace: dispatcher.pace(),
    remainingTokens: ({ request, tokenCount }) =>
      Math.max(1, estimates.expectedTokens(request) - (tokenCount - request.doneTokens.length))
  })

  const queuedMs = (): number => secondsAhead(work(), queuedTokens(work())) * MS_PER_SECOND

  const onDeath = (backendRun: string): void =>
    suspects.reportDeath(`${instance}/${backendRun}`, dispatcher.running())

  const engineBackend: EngineBackend | undefined = engine && createEngineBackend({
    context,
    engine,
    authority,
    rights: () => rights.current(),
    isDraining: () => drain.reason() !== undefined,
    demands: currentDemands,
    queuedMs,
    onDeath,
    schedulePump: () => dispatcher.schedulePump()
  })
  const backend = engineBackend ?? createPlainBackend({ context, queuedMs, onDeath })

  const rights = createRightsKeeper({
    context,
    append,
    isUnloaded: model => {
      if (!engineBackend) return true
      const slot = findSlot(engineBackend.loader.state(), model)
      return engineBackend.watch.isUp() && slot.phase === 'cold' && !slot.openOrder
    },
    isReleasingAll: () => drain.isReleasingAll(),
    onChange: () => onStateChange()
  })

  const permits = createPermitLedger({
    timers,
    events,
    instance,
    maxKeys: settings.limits.max_keys,
    heldKeys: target => rights.current().keys.get(target),
    tenure: rights.tenure,
    authority: authority.current,
    isListed: () => instances.current().listed === 'present',
    isDraining: () => drain.reason() !== undefined
  })

  const dispatcher = createDispatcher({
    context,
    attempts,
    queue,
    backend,
    estimates,
    suspicionOf: suspects.verdictOf,
    onNotRun: ({ id, request }) => {
      if (request.repeatable) return
      permits.withdraw({ target: targetOf(request), caller: request.caller, requestKey: request.requestKey }, id)
    },
    onAnswered: suspects.clear,
    plan: () => {
      demands = undefined
      engineBackend?.plan()
      rights.settle()
      demands = undefined
    }
  })

  const isIdle = (): boolean => dispatcher.runningCount() === 0 && queue.count() === 0

  const drain = createDrain({
    context,
    listing: instances.current,
    refreshListing: instances.refresh,
    isIdle,
    isDelivered: () => attempts.isDelivered() && links.bufferedBytes() === 0,
    hasReleasedAll: () => !isAnnounced(context) || (rights.current().slots.size === 0 && rights.current().keys.size === 0),
    cancelAll: dispatcher.cancelAll,
    onChange: reason => {
      if (reason === 'stop' || reason === 'instanceList') links.sendAll({ type: 'leaving', instance })
      dispatcher.schedulePump()
    }
  })

  const onStateChange = (): void => {
    drain.update()
    startHold.review()
    dispatcher.schedulePump()
  }

  const report = (): AgentReport => makeReport({
    sequence: sequence++,
    draining: drain.reason() !== undefined,
    queued: [...queue.all()],
    running: dispatcher.running(),
    pace: dispatcher.pace(),
    queuedSeconds: totalSeconds(work()),
    nowMs: timers.nowMs(),
    ...(engineBackend
      ? { engine: { state: engineBackend.loader.state(), slots: rights.current().slots, demands: currentDemands(), planOf: engineBackend.planOf } }
      : {})
  })

  const admission = createAdmission({
    context,
    loadRequests,
    attempts,
    queue,
    permits,
    suspects,
    dispatcher,
    backend,
    estimates,
    secondsAhead: request => secondsAhead(work(), queue.tokensAhead(request)),
    isDraining: () => drain.reason() !== undefined,
    isReady: records.isReady,
    isAnnounced: () => isAnnounced(context)
  })
  const startHold = createStartHold({ context, refusalByState: admission.refusalByState, highestOffset: links.highestOffset, start: admission.start })

  metrics.gauge('agent_running_count', dispatcher.runningCount)
  metrics.gauge('agent_queued_count', queue.count)
  metrics.gauge('agent_attempts_kept_count', attempts.count)
  metrics.gauge('agent_kept_answers_bytes', attempts.keptBytes)
  metrics.gauge('agent_keys_count', permits.count)
  metrics.gauge('agent_links_count', links.count)

  const stopAnnouncing = keepAnnounced(context, () => {
    if (!engineBackend) return { memoryCapacityMb: 0, enforcesFence: false }
    const inventory = engineBackend.watch.last()
    return inventory && { memoryCapacityMb: inventory.memoryCapacityMb, enforcesFence: inventory.enforcesFence }
  })
  if (engineBackend) runInBackground(events, 'engine.inventory', engineBackend.watch.refresh())
  const timersRunning = [
    timers.every(PUMP_MS, dispatcher.pump),
    timers.every(PROGRESS_MS, dispatcher.sendProgress),
    timers.every(PROGRESS_MS, attempts.sweep),
    timers.every(KEY_SWEEP_MS, permits.sweep)
  ]

  return {
    linkContext: {
      instance,
      sharedKey: settings.trust.shared_key,
      timers,
      events,
      offset: () => records.state().nextOffset,
      onPeerOffset: links.notePeerOffset
    },
    runLink: runRouterLink({
      context,
      attempts,
      start: startHold.take,
      cancel: dispatcher.cancel,
      dropHeld: startHold.drop,
      askPermit: ({ attemptId, executor, executorIncarnation, request }) =>
        permits.ask({ target: targetOf(request), request, attemptId, executor, executorIncarnation }),
      withdrawPermit: permits.withdraw,
      takeSuspicion: suspects.addFromPeer,
      report,
      onOpen: link => {
        links.add(link)
        if (drain.reason() === 'stop') link.send({ type: 'leaving', instance })
      },
      onClose: links.remove
    }),
    report,
    stop: async () => {
      await drain.finish()
      for (const stopTimer of timersRunning) stopTimer()
      stopping.abort()
      stopAnnouncing()
      authority.stop()
      instances.stop()
      rights.stop()
      engineBackend?.stop()
      links.closeAll(`${incarnation} stops`)
    }
  }
}
