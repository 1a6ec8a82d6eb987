import type { Route } from './types.js'

/** Draws one of a route's services by weight; `drawn` lies in [0, 1). */
export const pickService = (route: Route, drawn: number): string | undefined => {
  let total = 0
  for (const share of route.shares) total += share.weight
  let left = drawn * total
  for (const share of route.shares) {
    left -= share.weight
    if (left < 0) return share.serviceName
  }
  return route.shares.at(-1)?.serviceName
}
