import { rankByRendezvous } from '@figmount/base'

import type { InstanceName } from '@figmount/base'
import type { RoutingCandidate } from '@figmount/decisions'

/**
 * Candidates that one router keeps to when a model has more. Grounds: a choice between two random
 * ones of eight balances as well as between two of all, and each open link costs control traffic.
 */
const SUBSET_COUNT = 8
/** Lowest slots that are always in, so that all routers start a cold model at the same one. */
const COMMON_COUNT = 2

/**
 * The candidates that one router uses for one model: the lowest slots, and a subset that stays the
 * same while its members do, own data centre first. Routers differ in theirs, so all replicas of a
 * model with very many are used, but none of them by every router.
 */
export const pickSubset = (router: InstanceName, candidates: readonly RoutingCandidate[]): readonly RoutingCandidate[] => {
  if (candidates.length <= SUBSET_COUNT) return candidates
  const common = candidates.slice(0, COMMON_COUNT)
  const rest = candidates.slice(COMMON_COUNT)
  const byName = new Map(rest.map(candidate => [candidate.instance, candidate]))
  const ranked = rankByRendezvous(router, [...byName.keys()]).flatMap(name => byName.get(name) ?? [])
  const near = ranked.filter(candidate => candidate.sameDataCentre)
  const far = ranked.filter(candidate => !candidate.sameDataCentre)
  return [...common, ...[...near, ...far].slice(0, SUBSET_COUNT - COMMON_COUNT)]
}
