import { sleep, stayAwake } from '@figmount/base'

import type { TimerService } from '@figmount/base'

/** Sleeps and keeps the process alive meanwhile; figmount's timers alone do not. */
export const sleepKeepingAlive = async (timers: TimerService, durationMs: number): Promise<void> => {
  const release = stayAwake()
  await sleep(timers, durationMs)
  release()
}
