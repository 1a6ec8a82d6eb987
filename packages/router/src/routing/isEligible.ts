import type { InstanceName } from '@figmount/base'
import type { RoutingSources } from './types.js'

/**
 * Time for which an agent is skipped after a failed dial. This covers a few backoff periods, so that
 * a restarted agent is used again within seconds.
 */
const UNREACHABLE_MS = 3_000

/** True if an agent can accept new work: it is not gone, leaving, drained or unreachable. */
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
