import type { TimerService } from './types.js'

/** Resolves after `delayMs`, or as soon as `signal` is aborted. */
export const sleep = async (timers: TimerService, delayMs: number, signal?: AbortSignal): Promise<void> =>
  await new Promise(resolve => {
    if (signal?.aborted) return resolve()
    const finish = (): void => {
      cancel()
      signal?.removeEventListener('abort', finish)
      resolve()
    }
    const cancel = timers.after(delayMs, finish)
    signal?.addEventListener('abort', finish, { once: true })
  })
