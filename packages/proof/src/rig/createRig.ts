import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createTimerService, sleep } from '@figmount/base'

import { STOP_TIMEOUT_MS, POLL_MS, WAIT_TIMEOUT_MS } from './constants.js'
import { createEventStore } from './createEventStore.js'
import { startProcess } from './startProcess.js'

import type { ProcessPlan, Rig, RigProcess } from './types.js'

/** When this variable is set, the settings files and events of a run are not deleted. */
const KEEP_VARIABLE = 'FIGMOUNT_KEEP'

/** Creates a rig with its own temporary folder. */
export const createRig = (name: string): Rig => {
  const timers = createTimerService()
  const folder = mkdtempSync(join(tmpdir(), `figmount-${name}-`))
  const events = createEventStore(join(folder, 'events.jsonl'), timers)
  const processes: RigProcess[] = []

  // Without this, processes would outlive an interrupted test run and occupy ports and
  // processor time indefinitely.
  const killAll = (): void => {
    for (const running of processes) {
      if (running.isRunning()) process.kill(running.pid(), 'SIGKILL')
    }
  }
  process.once('exit', killAll)

  const stopProcess = async (running: RigProcess): Promise<void> => {
    if (!running.isRunning()) return
    running.resume()
    const cancel = timers.after(STOP_TIMEOUT_MS, () => { running.kill() })
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
    waitUntil: async (what, check, timeoutMs = WAIT_TIMEOUT_MS) => {
      const deadlineMs = timers.nowMs() + timeoutMs
      while (!await check()) {
        if (timers.nowMs() > deadlineMs) throw new Error(`timed out after ${timeoutMs} ms waiting for: ${what} (events in ${folder})`)
        await sleep(timers, POLL_MS)
      }
    },
    close: async () => {
      await Promise.all(processes.map(stopProcess))
      process.removeListener('exit', killAll)
      events.close()
      if (!process.env[KEEP_VARIABLE]) rmSync(folder, { recursive: true, force: true })
    }
  }
}
