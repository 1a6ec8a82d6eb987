import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createTimerService, sleep } from '@figmount/base'

import { END_MS, POLL_MS, WAIT_MS } from './constants.js'
import { createEventStore } from './createEventStore.js'
import { startProcess } from './startProcess.js'

import type { ProcessPlan, Rig, RigProcess } from './types.js'

/** Set to keep the settings files and the events of a run. */
const KEEP_VARIABLE = 'FIGMOUNT_KEEP'

/** Makes a rig with a temporary folder of its own. */
export const createRig = (name: string): Rig => {
  const timers = createTimerService()
  const folder = mkdtempSync(join(tmpdir(), `figmount-${name}-`))
  const events = createEventStore(join(folder, 'events.jsonl'), timers)
  const processes: RigProcess[] = []

  // Guards against processes that outlive a test run which was ended in the middle:
  // they would hold ports and processor time for good.
  const killAll = (): void => {
    for (const running of processes) {
      if (running.isRunning()) process.kill(running.pid(), 'SIGKILL')
    }
  }
  process.once('exit', killAll)

  const end = async (running: RigProcess): Promise<void> => {
    if (!running.isRunning()) return
    running.resume()
    const cancel = timers.after(END_MS, () => { running.kill() })
    await running.stop()
    cancel()
  }

  return {
    folder,
    events,
    start: async (plan: ProcessPlan) => {
      const started = await startProcess(plan, { folder, events, timers })
      processes.push(started)
      return started
    },
    processes: () => processes,
    until: async (what, check, timeoutMs = WAIT_MS) => {
      const deadlineMs = timers.nowMs() + timeoutMs
      while (!await check()) {
        if (timers.nowMs() > deadlineMs) throw new Error(`waited ${timeoutMs} ms in vain for: ${what} (events in ${folder})`)
        await sleep(timers, POLL_MS)
      }
    },
    close: async () => {
      await Promise.all(processes.map(end))
      process.removeListener('exit', killAll)
      events.close()
      if (!process.env[KEEP_VARIABLE]) rmSync(folder, { recursive: true, force: true })
    }
  }
}
