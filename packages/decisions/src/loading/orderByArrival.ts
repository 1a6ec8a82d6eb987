import type { OrderLoads } from './types.js'

/** Baseline: first asked, first loaded. */
export const orderByArrival: OrderLoads = loads => [...loads].sort((a, b) => a.askedAtMs - b.askedAtMs)
