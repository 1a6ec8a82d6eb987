import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'

import { BaseEvent } from '../events/catalogue.js'
import { createEventLog } from '../events/createEventLog.js'
import { createMetrics } from '../metrics/createMetrics.js'
import { describeSettingsFault, loadSettings } from '../settings/loadSettings.js'
import { createTimerService } from '../timers/createTimerService.js'
import { ExitCode } from './types.js'

import type * as z from 'zod'
import type { InstanceName } from '../ids/types.js'
import type { ProcessContext, RunningProcess } from './types.js'

/** Version that every binary reports. */
export const VERSION = '0.1.0'

interface Options<Settings> {
  /** Name of the binary, such as `figmount-router`. */
  readonly name: string
  readonly summary: string
  readonly role: string
  readonly schema: z.ZodType<Settings>
  readonly instanceOf: (settings: Settings) => string
  readonly start: (context: ProcessContext<Settings>) => Promise<RunningProcess>
}

interface Arguments {
  readonly settings: string
  readonly check: boolean
  readonly eventLines: boolean
}

const readArguments = async (name: string, summary: string): Promise<Arguments> => {
  const parsed = await yargs(hideBin(process.argv))
    .scriptName(name)
    .usage(`$0 --settings FILE\n\n${summary}`)
    .option('settings', { type: 'string', demandOption: true, describe: 'INI file with the settings' })
    .option('check', { type: 'boolean', default: false, describe: 'check the settings and exit' })
    .option('event-lines', { type: 'boolean', default: false, describe: 'write events to standard output, one JSON object a line' })
    .version(VERSION)
    .strict()
    .fail((message, error) => {
      process.stderr.write(`${message ?? error.message}\n`)
      process.exit(ExitCode.Usage)
    })
    .parseAsync()
  return { settings: parsed.settings, check: parsed.check, eventLines: parsed.eventLines }
}

const waitForStop = async (): Promise<void> => await new Promise(resolve => {
  process.once('SIGTERM', resolve)
  process.once('SIGINT', resolve)
})

const exitWith = (code: number, ...messages: readonly string[]): never => {
  for (const message of messages) process.stderr.write(`${message}\n`)
  process.exit(code)
}

/** Runs a daemon from its command line: settings, events, start, and a graceful stop on SIGTERM. */
export const runBinary = async <Settings>(options: Options<Settings>): Promise<void> => {
  const args = await readArguments(options.name, options.summary)
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
  const timers = createTimerService()
  const metrics = createMetrics()
  const instance = options.instanceOf(settings) as InstanceName
  const writeLine = args.eventLines ? (line: string): void => { process.stdout.write(`${line}\n`) } : undefined
  const events = createEventLog({ instance, role: options.role, timers, ...(writeLine ? { writeLine } : {}) })
  try {
    const running = await options.start({ settings, events, timers, metrics })
    events.emit(BaseEvent.processStarted, { detail: running.address })
    await waitForStop()
    events.emit(BaseEvent.processStopping)
    await running.stop()
    events.emit(BaseEvent.processStopped)
    process.exit(ExitCode.Ok)
  } catch (error) {
    const refusedListen = (error as NodeJS.ErrnoException).syscall === 'listen'
    exitWith(refusedListen ? ExitCode.Listen : ExitCode.Failed, `${options.name}: ${(error as Error).message}`)
  }
}
