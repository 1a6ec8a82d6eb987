import type { AccountServed, FairnessState, PickNext } from './types.js'

/** Initial state, without any served tokens. */
export const noFairness: FairnessState = { servedByTenant: new Map(), servedByCaller: new Map(), asOfMs: 0 }

/** Baseline: first come, first served. */
export const pickFirstCome: PickNext = waiting => waiting[0]

/** Baseline: nothing is accounted. */
export const accountNothing: AccountServed = fairness => fairness
