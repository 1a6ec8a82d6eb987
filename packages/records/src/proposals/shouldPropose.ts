import { rankByRendezvous } from '@figmount/base'

import type { InstanceName } from '@figmount/base'

// Ranking 350 routers takes some 0.3 ms. Lists of routers change rarely, so the answers are kept for
// as long as the caller keeps passing the same list.
const proposersByList = new WeakMap<readonly InstanceName[], Map<string, InstanceName | undefined>>()

const proposerOf = (target: string, liveRouters: readonly InstanceName[]): InstanceName | undefined => {
  const known = proposersByList.get(liveRouters) ?? new Map<string, InstanceName | undefined>()
  proposersByList.set(liveRouters, known)
  if (!known.has(target)) known.set(target, rankByRendezvous(`proposals:${target}`, liveRouters)[0])
  return known.get(target)
}

/**
 * Whether `self` is the live router to propose for a target. Nothing rests on there being only one:
 * the fold takes the first of two racing proposals. It saves appends. Pass the same array while the
 * list of routers is the same; an array that was passed once must not be changed.
 */
export const shouldPropose = (target: string, liveRouters: readonly InstanceName[], self: InstanceName): boolean =>
  proposerOf(target, liveRouters) === self
