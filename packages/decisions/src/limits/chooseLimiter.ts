import { rankByRendezvous } from '@figmount/base'

/**
 * Chooses the process that holds an organisation's token bucket for one router: the highest-ranked one that the router can reach.
 *
 * Routers that reach the same processes choose the same one without coordination. If they reach different ones, each bucket holds
 * the share of the limit of the routers that chose it, so the shares add up to the whole limit.
 */
export const chooseLimiter = (organisationName: string, reached: readonly string[]): string | undefined =>
  rankByRendezvous(organisationName, reached)[0]
