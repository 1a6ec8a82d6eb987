import type { Route } from './types.js'

/** Picks one of a route's services by weight; `drawn` is a random number in [0, 1). */
export const pickService = (route: Route, drawn: number): string | undefined => {
  let total = 0
  for (const share of route.shares) total += share.weight
  let remaining = drawn * total
  for (const share of route.shares) {
    remaining -= share.weight
    if (remaining < 0) return share.serviceName
  }
  return route.shares.at(-1)?.serviceName
}
