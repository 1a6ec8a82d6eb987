import { rankByRendezvous } from '@figmount/base'

import type { InstanceName } from '@figmount/base'
import type { RoutingCandidate } from '@figmount/decisions'

/**
 * Maximum number of candidates per router and model. Choosing between two random candidates out of
 * eight balances as well as out of all of them, and each open link costs control traffic.
 */
const SUBSET_COUNT = 8
/** Number of lowest slots that every router includes, so that all routers start a cold model on the same agent. */
const COMMON_COUNT = 2

/**
 * Picks the candidates that one router uses for one model: the lowest slots, plus a subset that is
 * stable while its members are, with the router's own data centre first. The subset differs between
 * routers, so that all replicas of a model are used but no router needs links to all of them.
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
