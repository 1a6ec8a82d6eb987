import { rankByRendezvous } from '@figmount/base'

/**
 * The process that keeps an organisation's bucket, for one router: the first by rank of those that it reaches.
 *
 * All routers that reach the same processes choose the same one, with nothing to agree on. Where they do not, each bucket holds the
 * part of the limit of the routers that chose it, so the parts add up to the whole limit.
 */
export const chooseLimiter = (organisationName: string, reached: readonly string[]): string | undefined =>
  rankByRendezvous(organisationName, reached)[0]
