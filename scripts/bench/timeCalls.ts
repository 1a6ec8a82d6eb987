import { createTimerService } from '@figmount/base'

import { SAMPLE_COUNT, WARM_UP_COUNT } from './constants.js'
import { createQuantiles } from './createQuantiles.js'

import type { Quantiles } from './createQuantiles.js'

const timers = createTimerService()

/** Performs one call; resolves with the complete answer and rejects if there is none. */
export type Call = () => Promise<void>

/** Times several kinds of call in turn; interleaving exposes all kinds to the same load of the machine. */
export const timeCalls = async (calls: readonly Call[]): Promise<readonly Quantiles[]> => {
  const quantiles = calls.map(createQuantiles)
  for (let round = -WARM_UP_COUNT; round < SAMPLE_COUNT; round += 1) {
    for (const [index, call] of calls.entries()) {
      const startedMs = timers.nowMs()
      await call()
      if (round >= 0) quantiles[index]?.recordMs(timers.nowMs() - startedMs)
    }
  }
  return quantiles
}
