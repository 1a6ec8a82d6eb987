import { sleep, keepProcessAlive } from '@figmount/base'

import type { TimerService } from '@figmount/base'

/** Sleeps and keeps the process alive meanwhile; figmount's timers alone do not. */
export const sleepKeepingAlive = async (timers: TimerService, durationMs: number): Promise<void> => {
  const release = keepProcessAlive()
  await sleep(timers, durationMs)
  release()
}
