import { rankByRendezvous } from '@figmount/base'

import { PROPOSER_TURN_MS } from './constants.js'

import type { InstanceName } from '@figmount/base'

/**
 * Whether it is the turn of `self` to propose for a target. Nothing rests on there being only one: the fold takes
 * the first of two racing proposals. It saves appends.
 *
 * Guards against a proposer that is listed but dead or cut off from the log: it would show as rights that
 * are never granted and snapshots that are never written. The turn passes to the next router in rank every
 * PROPOSER_TURN_MS of `nowUnixMs`, so one such router costs one turn.
 */
export const shouldPropose = (target: string, liveRouters: readonly InstanceName[], self: InstanceName, nowUnixMs: number): boolean => {
  const ranked = rankByRendezvous(`proposals:${target}`, liveRouters)
  const turn = Math.floor(nowUnixMs / PROPOSER_TURN_MS)
  return ranked[turn % ranked.length] === self
}
