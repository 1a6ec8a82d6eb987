import { sleep, stayAwake } from '@figmount/base'

import type { TimerService } from '@figmount/base'

/** Sleeps and keeps the process alive, which figmount's own timers do not. */
export const sleepAwake = async (timers: TimerService, durationMs: number): Promise<void> => {
  const release = stayAwake()
  await sleep(timers, durationMs)
  release()
}
