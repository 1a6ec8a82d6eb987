import { BaseEvent } from '../events/catalogue.js'
import { createEventLog } from '../events/createEventLog.js'
import { createLineWriter } from '../logs/createLineWriter.js'
import { createMetrics } from '../metrics/createMetrics.js'
import { watchMemory } from '../metrics/watchMemory.js'
import { createConnectionRoom } from '../listeners/createConnectionRoom.js'
import { describeSettingsFault, loadSettings } from '../settings/loadSettings.js'
import { createStandstillWatch } from '../timers/createStandstillWatch.js'
import { watchLateness } from '../timers/watchLateness.js'
import { createTimerService } from '../timers/createTimerService.js'
import { keepProcessAlive } from '../timers/keepProcessAlive.js'
import { readArguments } from './readArguments.js'
import { surviveUncaught } from './surviveUncaught.js'
import { ExitCode } from './types.js'

import type * as z from 'zod'
import type { EventLog } from '../events/types.js'
import type { InstanceName } from '../ids/types.js'
import type { ConnectionLimits } from '../listeners/types.js'
import type { Metrics } from '../metrics/types.js'
import type { TimerService } from '../timers/types.js'
import type { ProcessContext, RunningProcess } from './types.js'

interface Options<Settings> {
  /** Name of the binary, such as `figmount-router`. */
  readonly name: string
  readonly summary: string
  readonly role: string
  readonly schema: z.ZodType<Settings>
  readonly instanceOf: (settings: Settings) => string
  /** What the connections of the process may take. */
  readonly connectionLimitsOf?: (settings: Settings) => ConnectionLimits
  readonly start: (context: ProcessContext<Settings>) => Promise<RunningProcess<Settings>>
}

/**
 * Waits for SIGTERM or SIGINT. The listeners stay registered: tools send the signal to a process and to its group, and
 * a second signal with no listener would end the process at once and drop the connections of open requests.
 */
const waitForStop = async (): Promise<void> => await new Promise(resolve => {
  process.on('SIGTERM', () => resolve())
  process.on('SIGINT', () => resolve())
})

/**
 * Counts errors of standard output and standard error instead of letting them end the process. Writing a log line to a
 * closed pipe, as when a service manager stops the log reader too, would otherwise drop the connections of open requests.
 */
const countOutputErrors = (metrics: Metrics): void => {
  for (const output of [process.stdout, process.stderr]) output.on('error', () => metrics.count('event_lines_lost_total'))
}

const exitWith = (code: number, ...messages: readonly string[]): never => {
  for (const message of messages) process.stderr.write(`${message}\n`)
  process.exit(code)
}

const createEventLineWriter = (linesPerS: number, timers: TimerService, metrics: Metrics): (line: string) => void => {
  if (linesPerS === 0) return line => { process.stdout.write(`${line}\n`) }
  const writer = createLineWriter(process.stdout, timers, linesPerS)
  metrics.gauge('event_lines_left_out_total', writer.droppedCount)
  return writer.write
}

/**
 * Loads a changed settings file. Invalid settings are reported and the current ones stay in force: exiting would abort
 * open requests.
 */
const reload = <Settings>(options: Options<Settings>, file: string, events: EventLog, running: RunningProcess<Settings>): void => {
  loadSettings(options.schema, file).caseOf({
    Left: faults => {
      for (const fault of faults) events.emit(BaseEvent.settingsRefused, { reason: describeSettingsFault(fault) })
    },
    Right: settings => {
      running.reload?.(settings)
      events.emit(BaseEvent.settingsReloaded, { detail: file })
    }
  })
}

/** Runs a daemon from its command line: loads the settings, starts it, and stops it gracefully on SIGTERM or SIGINT. */
export const runBinary = async <Settings>(options: Options<Settings>): Promise<void> => {
  const args = await readArguments(options.name, options.summary, process.argv.slice(2))
  const loaded = loadSettings(options.schema, args.settings)
  if (loaded.isLeft()) {
    const lines = loaded.swap().orDefault([]).map(describeSettingsFault)
    return exitWith(ExitCode.Settings, ...lines)
  }
  const settings = loaded.unsafeCoerce()
  if (args.check) {
    process.stdout.write(`${args.settings}: settings are valid\n`)
    return
  }
  keepProcessAlive()
  const timers = createTimerService()
  const metrics = createMetrics()
  countOutputErrors(metrics)
  const instance = options.instanceOf(settings) as InstanceName
  const writeLine = args.eventLines ? createEventLineWriter(args.eventLinesPerS, timers, metrics) : undefined
  const events = createEventLog({ instance, role: options.role, timers, ...(writeLine ? { writeLine } : {}) })
  let hasStarted = false
  const stopping = new AbortController()
  const endStart = (error: unknown): never => {
    const isListenError = (error as NodeJS.ErrnoException | undefined)?.syscall === 'listen'
    return exitWith(isListenError ? ExitCode.Listen : ExitCode.Failed, `${options.name}: ${error instanceof Error ? error.message : String(error)}`)
  }
  surviveUncaught({ events, metrics, hasStarted: () => hasStarted, endStart })
  watchMemory(timers, events, metrics)
  const limits = options.connectionLimitsOf?.(settings)
  const connections = createConnectionRoom({ timers, events, metrics, ...(limits ? { limits } : {}) })
  watchLateness(timers, events, metrics)
  createStandstillWatch(timers, durationMs => { events.emit(BaseEvent.processStoodStill, { durationMs: Math.round(durationMs) }) })
  try {
    const stopAsked = waitForStop()
    stopAsked.then(() => { stopping.abort() }, endStart)
    // Registered before the start: without a listener, an early SIGHUP would end the process.
    let reloadSettings = (): void => {}
    process.on('SIGHUP', () => reloadSettings())
    const running = await options.start({ settings, events, timers, metrics, connections, stopSignal: stopping.signal })
    reloadSettings = () => reload(options, args.settings, events, running)
    hasStarted = true
    events.emit(BaseEvent.processStarted, { detail: running.address })
    await stopAsked
    events.emit(BaseEvent.processStopping)
    await running.stop()
    events.emit(BaseEvent.processStopped)
    process.exit(ExitCode.Ok)
  } catch (error) {
    // Nothing is open yet.
    if (stopping.signal.aborted && !hasStarted) process.exit(ExitCode.Ok)
    endStart(error)
  }
}
