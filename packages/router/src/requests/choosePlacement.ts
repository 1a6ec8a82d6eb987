import { findReplicaRights } from '@figmount/records'
import { RefusalReason } from '@figmount/schema'

import { buildCandidates, buildPlainCandidates } from '../routing/buildCandidates.js'
import { DEFAULT_RETRY_AFTER_MS, OPEN_WAIT_MS } from './constants.js'
import { chooseRetry } from './chooseRetry.js'
import { notRun } from './refusals.js'

import type { RoutingCandidate, RoutingRequest } from '@figmount/decisions'
import type { AdmittedRequest, Placement, ServeContext, ServeProgress } from './types.js'

/**
 * Agents that are dialled for a report before a request is placed. Grounds: two more than
 * are needed for a choice, and a model with hundreds of replicas must not open hundreds of links.
 */
const MAX_DIALLED = 4

const candidatesFor = (context: ServeContext, { run }: AdmittedRequest, progress: ServeProgress): readonly RoutingCandidate[] => {
  const sources = context.sourcesFor(run.model, run.prefixHint)
  if (run.plain) return buildPlainCandidates(sources, run.service, progress.excluded)
  return buildCandidates(sources, {
    replicas: findReplicaRights(context.records.state(), run.model),
    adapter: run.adapter,
    coldStartMs: context.coldStarts.expectedMs(run.model),
    excluded: progress.excluded
  })
}

const isOpen = (context: ServeContext, candidate: RoutingCandidate): boolean =>
  context.links.viewOf(candidate.instance)?.isOpen ?? false

/** Opens links to some of the candidates, so that the choice is made on reports and not on guesses. */
const openLinks = async (context: ServeContext, candidates: readonly RoutingCandidate[], waitMs: number): Promise<void> => {
  const opened = candidates.filter(candidate => isOpen(context, candidate))
  const missing = candidates.filter(candidate => !isOpen(context, candidate)).slice(0, Math.max(0, MAX_DIALLED - opened.length))
  for (const candidate of opened) context.links.linkTo(candidate.instance).keep()
  await Promise.all(missing.map(async candidate =>
    await context.links.linkTo(candidate.instance).whenOpen(waitMs).run()))
}

const routingRequestOf = (context: ServeContext, { run, deadlineAtMs }: AdmittedRequest): RoutingRequest => ({
  remainingMs: deadlineAtMs - context.timers.nowMs(),
  expectedTokens: run.maxTokens,
  priority: run.priority,
  coldStartMs: context.coldStarts.expectedMs(run.model)
})

const refuseUnavailable = (context: ServeContext, admitted: AdmittedRequest): Placement => ({
  kind: 'refuse',
  note: notRun({
    reason: RefusalReason.UNAVAILABLE,
    detail: `no agent that may serve ${admitted.run.model} can be reached`,
    step: 'routing.choose',
    retryAfterMs: chooseRetry(context, DEFAULT_RETRY_AFTER_MS, admitted.run.resendCount)
  })
})

/** Chooses where a request goes. Agents that cannot be reached are passed over. */
export const choosePlacement = async (context: ServeContext, admitted: AdmittedRequest, progress: ServeProgress): Promise<Placement> => {
  const remainingMs = admitted.deadlineAtMs - context.timers.nowMs()
  await openLinks(context, candidatesFor(context, admitted, progress), Math.min(OPEN_WAIT_MS, remainingMs))
  const reachable = candidatesFor(context, admitted, progress).filter(candidate => isOpen(context, candidate))
  if (reachable.length === 0) return refuseUnavailable(context, admitted)
  const choice = context.chooseBackend(routingRequestOf(context, admitted), reachable, context.random)
  if (choice.kind === 'send') return { kind: 'start', candidate: choice.candidate }
  return {
    kind: 'refuse',
    note: notRun({
      reason: RefusalReason.OVERLOADED,
      detail: `expected wait of ${Math.round(choice.estimatedWaitMs)} ms is beyond the deadline`,
      step: 'routing.choose',
      retryAfterMs: chooseRetry(context, choice.estimatedWaitMs, admitted.run.resendCount)
    })
  }
}
