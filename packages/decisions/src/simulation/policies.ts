import { admitByDeadline } from '../admission/admitByDeadline.js'
import { admitUntilFull } from '../admission/admitUntilFull.js'
import { evictLeastLoss } from '../eviction/evictLeastLoss.js'
import { evictLeastRecent } from '../eviction/evictLeastRecent.js'
import { orderByArrival } from '../loading/orderByArrival.js'
import { orderByNeed } from '../loading/orderByNeed.js'
import { accountDecayed } from '../queueing/accountDecayed.js'
import { allAhead, fairAhead } from '../queueing/estimateAhead.js'
import { limitLong, limitNothing } from '../queueing/limitLong.js'
import { accountNothing, pickFirstCome } from '../queueing/pickFirstCome.js'
import { pickFairShare } from '../queueing/pickFairShare.js'
import { shedHopeless, shedNothing } from '../queueing/shedHopeless.js'
import { retryAfterFixed } from '../retries/retryAfterFixed.js'
import { spreadByDrainTime } from '../retries/spreadByDrainTime.js'
import { chooseFirstReady } from '../routing/chooseFirstReady.js'
import { chooseLeastCost } from '../routing/chooseLeastCost.js'
import { moveSlowStream, neverMove } from '../routing/moveStream.js'

import type { Policies } from './types.js'

/** All baselines together. */
export const baselinePolicies: Policies = {
  chooseBackend: chooseFirstReady,
  pickNext: pickFirstCome,
  accountServed: accountNothing,
  estimateAhead: allAhead,
  limitLong: limitNothing,
  shedWaiting: shedNothing,
  admit: admitUntilFull,
  chooseVictims: evictLeastRecent,
  orderLoads: orderByArrival,
  chooseRetryAfter: retryAfterFixed,
  chooseMove: neverMove,
  seesPriorities: false,
  hasRetryBudget: false
}

/** The decision functions that figmount uses. */
export const figmountPolicies: Policies = {
  chooseBackend: chooseLeastCost,
  pickNext: pickFairShare,
  accountServed: accountDecayed,
  estimateAhead: fairAhead,
  limitLong,
  shedWaiting: shedHopeless,
  admit: admitByDeadline,
  chooseVictims: evictLeastLoss,
  orderLoads: orderByNeed,
  chooseRetryAfter: spreadByDrainTime,
  chooseMove: moveSlowStream,
  seesPriorities: true,
  hasRetryBudget: true
}
