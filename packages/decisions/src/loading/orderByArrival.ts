import type { OrderLoads } from './types.js'

/** Baseline: loads in the order in which they were requested. */
export const orderByArrival: OrderLoads = loads => [...loads].sort((a, b) => a.askedAtMs - b.askedAtMs)
