import { rankByRendezvous } from '@figmount/base'

import { PROPOSER_COUNT, PROPOSER_TURN_MS } from './constants.js'

import type { InstanceName } from '@figmount/base'

// Ranking 350 routers takes some 0.3 ms. Lists of routers change rarely, so the answers are kept for
// as long as the caller keeps passing the same list.
const proposersByList = new WeakMap<readonly InstanceName[], Map<string, readonly InstanceName[]>>()

const proposersOf = (target: string, liveRouters: readonly InstanceName[]): readonly InstanceName[] => {
  const byTarget = proposersByList.get(liveRouters) ?? new Map<string, readonly InstanceName[]>()
  proposersByList.set(liveRouters, byTarget)
  const known = byTarget.get(target)
  if (known) return known
  const ranked = rankByRendezvous(`proposals:${target}`, liveRouters).slice(0, PROPOSER_COUNT)
  byTarget.set(target, ranked)
  return ranked
}

/**
 * Whether it is the turn of `self` to propose for a target. Nothing rests on there being only one: the fold takes
 * the first of two racing proposals. It saves appends. Pass the same array while the list of routers is the
 * same; an array that was passed once must not be changed.
 *
 * Guards against a proposer that is listed but dead or cut off from the log: it would show as rights that
 * are never granted and snapshots that are never written. The turn passes to the next router in rank every
 * PROPOSER_TURN_MS of `nowUnixMs`, so one such router costs one turn.
 */
export const shouldPropose = (target: string, liveRouters: readonly InstanceName[], self: InstanceName, nowUnixMs: number): boolean => {
  const proposers = proposersOf(target, liveRouters)
  const turn = Math.floor(nowUnixMs / PROPOSER_TURN_MS)
  return proposers[turn % proposers.length] === self
}
