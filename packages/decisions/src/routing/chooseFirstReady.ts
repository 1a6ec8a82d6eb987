import type { ChooseBackend, RoutingCandidate } from './types.js'

const MS_PER_SECOND = 1000

const waitMs = (candidate: RoutingCandidate): number =>
  candidate.readyInMs + (candidate.queuedSeconds + candidate.unreportedSeconds) * MS_PER_SECOND

/** Baseline: the candidate with the shortest expected wait according to the last reports, regardless of their age. */
export const chooseFirstReady: ChooseBackend = (request, candidates) => {
  let best: RoutingCandidate | undefined
  for (const candidate of candidates) {
    if (!best || waitMs(candidate) < waitMs(best)) best = candidate
  }
  if (!best) return { kind: 'none', estimatedWaitMs: 0 }
  const estimatedWaitMs = waitMs(best)
  if (estimatedWaitMs > request.remainingMs) return { kind: 'none', estimatedWaitMs }
  return { kind: 'send', candidate: best, estimatedWaitMs }
}
