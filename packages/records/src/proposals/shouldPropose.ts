import { rankByRendezvous } from '@figmount/base'

import { PROPOSERS_PER_TARGET, PROPOSER_TURN_MS } from './constants.js'

import type { InstanceName } from '@figmount/base'

// Ranking 350 routers takes some 0.3 ms. Lists of routers change rarely, so rankings are cached by the
// identity of the list.
const proposersByList = new WeakMap<readonly InstanceName[], Map<string, readonly InstanceName[]>>()

const proposersOf = (target: string, liveRouters: readonly InstanceName[]): readonly InstanceName[] => {
  const byTarget = proposersByList.get(liveRouters) ?? new Map<string, readonly InstanceName[]>()
  proposersByList.set(liveRouters, byTarget)
  const cached = byTarget.get(target)
  if (cached) return cached
  const ranked = rankByRendezvous(`proposals:${target}`, liveRouters).slice(0, PROPOSERS_PER_TARGET)
  byTarget.set(target, ranked)
  return ranked
}

/**
 * Whether it is the turn of `self` to propose for a target. Having one proposer saves appends but is not needed for
 * correctness: the fold applies the first of two racing proposals. Pass the same array while the list of routers is
 * unchanged, and never modify an array that was passed.
 *
 * Guards against a proposer that is listed but dead or cut off from the log, with which rights would
 * never be granted and snapshots never be written. The turn passes to the next router in rank every
 * PROPOSER_TURN_MS of `nowUnixMs`, so such a router costs one turn.
 */
export const shouldPropose = (target: string, liveRouters: readonly InstanceName[], self: InstanceName, nowUnixMs: number): boolean => {
  const proposers = proposersOf(target, liveRouters)
  const turn = Math.floor(nowUnixMs / PROPOSER_TURN_MS)
  return proposers[turn % proposers.length] === self
}
