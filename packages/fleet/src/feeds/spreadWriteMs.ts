/** Time over which routers spread their writes of what all of them know, for each of them. */
const SPREAD_PER_ROUTER_MS = 20

/**
 * Time in milliseconds that a router waits before it writes what the other routers know, too: the first write makes those of the others
 * unnecessary. `share` is a random number from 0 to 1.
 */
export const spreadWriteMs = (routerCount: number, maxSpreadMs: number, share: number): number =>
  share * Math.min(maxSpreadMs, SPREAD_PER_ROUTER_MS * routerCount)
