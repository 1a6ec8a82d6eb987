import { sleep } from '@figmount/base'
import { findReplicaRights } from '@figmount/records'
import { RefusalReason } from '@figmount/schema'

import { buildCandidates, buildPlainCandidates } from '../routing/buildCandidates.js'
import { DEFAULT_RETRY_AFTER_MS, MORE_REPORTS_WAIT_MS, OPEN_WAIT_MS, RECENT_REPORT_MS, REFRESH_WAIT_MS } from './constants.js'
import { pickSubset } from '../routing/pickSubset.js'
import { chooseRetryAfterMs } from './chooseRetryAfterMs.js'
import { notRun } from './refusals.js'

import type { RoutingCandidate, RoutingChoice, RoutingRequest } from '@figmount/decisions'
import type { AdmittedRequest, Placement, ServeContext, ServeProgress } from './types.js'

const candidatesFor = (context: ServeContext, { run }: AdmittedRequest, progress: ServeProgress): readonly RoutingCandidate[] => {
  const sources = context.sourcesFor(run.model, run.prefixHint)
  if (run.plain) return pickSubset(context.instance, buildPlainCandidates(sources, run.service, progress.excluded))
  return pickSubset(context.instance, buildCandidates(sources, {
    replicas: findReplicaRights(context.records.state(), run.model),
    adapter: run.adapter,
    coldStartMs: context.estimates.coldStartMs(run.model),
    excluded: progress.excluded
  }))
}

const isOpen = (context: ServeContext, candidate: RoutingCandidate): boolean =>
  context.links.viewOf(candidate.instance)?.isOpen ?? false

/** Opens links to the candidates so that the choice is based on current load reports. */
const openLinks = async (context: ServeContext, candidates: readonly RoutingCandidate[], waitMs: number): Promise<void> => {
  const links = candidates.map(candidate => context.links.linkTo(candidate.instance))
  for (const link of links) link.keepOpen()
  const opening = links.filter(link => !link.view().isOpen).map(async link => await link.whenOpen(waitMs).run())
  if (opening.length === links.length) await Promise.all(opening)
  // Once some reports are available, the rest get only a short wait: an unresponsive agent must not delay the request.
  else await Promise.race([Promise.all(opening), sleep(context.timers, MORE_REPORTS_WAIT_MS)])
}

const routingRequestOf = (context: ServeContext, { run, deadlineAtMs }: AdmittedRequest): RoutingRequest => ({
  remainingMs: deadlineAtMs - context.timers.nowMs(),
  expectedTokens: context.estimates.expectedTokens(run.model, run.maxTokens),
  priority: run.priority,
  coldStartMs: context.estimates.coldStartMs(run.model)
})

const refuseUnavailable = (context: ServeContext, admitted: AdmittedRequest): Placement => ({
  kind: 'refuse',
  note: notRun({
    reason: RefusalReason.UNAVAILABLE,
    detail: `no agent that may serve ${admitted.run.model} can be reached`,
    step: 'routing.choose',
    retryAfterMs: chooseRetryAfterMs(context, DEFAULT_RETRY_AFTER_MS, admitted.run.resendCount)
  })
})

/**
 * Requests fresh reports and chooses a second time before a request is refused. A report made during
 * a burst may show a queue that was served within the second; the next caller would be refused for it.
 */
const chooseOnFreshReports = async (
  context: ServeContext, admitted: AdmittedRequest, progress: ServeProgress, candidates: readonly RoutingCandidate[], refused: RoutingChoice
): Promise<RoutingChoice> => {
  const stale = candidates.filter(candidate => candidate.reportAgeMs > RECENT_REPORT_MS)
  if (stale.length === 0) return refused
  await Promise.all(stale.map(async candidate => await context.links.linkTo(candidate.instance).refresh(REFRESH_WAIT_MS)))
  const renewed = candidatesFor(context, admitted, progress).filter(candidate => isOpen(context, candidate))
  return context.chooseBackend(routingRequestOf(context, admitted), renewed, context.random)
}

/** Chooses the agent that a request is sent to, or a refusal. Skips agents that cannot be reached. */
export const choosePlacement = async (context: ServeContext, admitted: AdmittedRequest, progress: ServeProgress): Promise<Placement> => {
  const remainingMs = admitted.deadlineAtMs - context.timers.nowMs()
  await openLinks(context, candidatesFor(context, admitted, progress), Math.min(OPEN_WAIT_MS, remainingMs))
  const reachable = candidatesFor(context, admitted, progress).filter(candidate => isOpen(context, candidate))
  if (reachable.length === 0) return refuseUnavailable(context, admitted)
  const first = context.chooseBackend(routingRequestOf(context, admitted), reachable, context.random)
  const choice = first.kind === 'send' ? first : await chooseOnFreshReports(context, admitted, progress, reachable, first)
  if (choice.kind === 'send') return { kind: 'start', candidate: choice.candidate }
  return {
    kind: 'refuse',
    note: notRun({
      reason: RefusalReason.OVERLOADED,
      detail: `expected wait of ${Math.round(choice.estimatedWaitMs)} ms is beyond the deadline`,
      step: 'routing.choose',
      retryAfterMs: chooseRetryAfterMs(context, choice.estimatedWaitMs, admitted.run.resendCount)
    })
  }
}
