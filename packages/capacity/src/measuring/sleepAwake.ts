import { sleep } from '@figmount/base'

import type { TimerService } from '@figmount/base'

/** Sleeps and keeps the process alive, which figmount's own timers do not. */
export const sleepAwake = async (timers: TimerService, durationMs: number): Promise<void> => {
  const awake = setInterval(() => {}, durationMs)
  await sleep(timers, durationMs)
  clearInterval(awake)
}
