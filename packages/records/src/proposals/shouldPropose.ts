import { rankByRendezvous } from '@figmount/base'

import type { InstanceName } from '@figmount/base'

/**
 * Whether `self` is the live router to propose for a target. Nothing rests on there being only one:
 * the fold takes the first of two racing proposals. It saves appends.
 */
export const shouldPropose = (target: string, liveRouters: readonly InstanceName[], self: InstanceName): boolean =>
  rankByRendezvous(`proposals:${target}`, liveRouters)[0] === self
