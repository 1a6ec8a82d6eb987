import type { InstanceName } from '@figmount/base'
import type { RoutingSources } from './types.js'

/**
 * An agent that could not be dialled is left out for this long, then tried again.
 * Grounds: a few back-offs, so that a restarted agent is found within seconds.
 */
const UNREACHABLE_MS = 3_000

/** True for an agent that may get new work: it is neither gone, leaving, drained nor known to be unreachable. */
export const isEligible = (sources: RoutingSources, instance: InstanceName): boolean => {
  const facts = sources.agents.get(instance)
  if (facts?.gone || facts?.draining) return false
  const listed = sources.list.instances.get(instance)
  const view = sources.viewOf(instance)
  if (!listed && !view?.isOpen) return false
  if (listed?.leaving) return false
  if (!view) return true
  if (sources.nowMs < view.leavingUntilMs) return false
  if (view.isOpen && view.report?.draining) return false
  return view.unreachableSinceMs === undefined || sources.nowMs - view.unreachableSinceMs > UNREACHABLE_MS
}
