import type { ServerReport } from '@figmount/fleet'

/** The second report is of a later start of the engine than the first. */
export const hasRestarted = (before: ServerReport, next: ServerReport): boolean => {
  if (before.startedAtUnixMs !== undefined && next.startedAtUnixMs !== undefined) return before.startedAtUnixMs !== next.startedAtUnixMs
  // An engine that does not tell when it started shows a restart where its count of orders falls: within a start it grows.
  return next.orderCount < before.orderCount
}
