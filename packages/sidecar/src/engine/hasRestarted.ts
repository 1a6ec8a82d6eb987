import type { ServerReport } from '@figmount/fleet'

/** True when the second report comes from a later start of the engine than the first. */
export const hasRestarted = (before: ServerReport, next: ServerReport): boolean => {
  if (before.startedAtUnixMs !== undefined && next.startedAtUnixMs !== undefined) return before.startedAtUnixMs !== next.startedAtUnixMs
  // An engine that does not report its start time shows a restart by a lower order count: within one start the count only grows.
  return next.orderCount < before.orderCount
}
