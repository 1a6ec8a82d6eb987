import { spawn } from 'node:child_process'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { BaseEvent, ExitCode, sleep } from '@figmount/base'

import { RESTART_TRIES, RESTART_WAIT_MS, START_TIMEOUT_MS } from './constants.js'
import { RigEvent } from './events.js'
import { withPort, writeIni } from './writeIni.js'

import type { ChildProcess } from 'node:child_process'
import type { EventFields, EventKind, EventRecord, InstanceName, TimerService } from '@figmount/base'
import type { EventStore, ExitReport, IniSections, ProcessPlan, RigProcess } from './types.js'

interface ProcessContext {
  readonly folder: string
  readonly events: EventStore
  readonly timers: TimerService
}

/** One run of a process, from spawn to exit. */
interface ProcessRun {
  readonly child: ChildProcess
  readonly ended: Promise<ExitReport>
  readonly address: string
}

const DIST = join(import.meta.dirname, '../../../../dist')

/** Only the last part of standard error is stored. */
const MAX_STDERR_CHARACTERS = 8000

const parseEvent = (line: string): EventRecord | undefined => {
  try {
    const value = JSON.parse(line) as EventRecord
    return typeof value.number === 'number' ? value : undefined
  } catch {
    return undefined
  }
}

const postCommand = async (address: string, command: object): Promise<unknown> => {
  const response = await fetch(`http://${address}/control`, { method: 'POST', body: JSON.stringify(command) })
  const result = await response.json() as unknown
  if (!response.ok) throw new Error(`${address} refused ${JSON.stringify(command)}: ${JSON.stringify(result)}`)
  return result
}

/** The process exited before it listened. */
class StartError extends Error {
  constructor (message: string, readonly code: number | null) { super(message) }
}

/** Starts a process and waits until it listens on its port. */
export const startProcess = async (plan: ProcessPlan, { folder, events, timers }: ProcessContext): Promise<RigProcess> => {
  const { name } = plan
  const file = join(folder, `${name}.ini`)
  let sections: IniSections = plan.sections
  let errorText = ''

  const report = (kind: EventKind, fields: EventFields): void => {
    events.add({ number: kind.number, name: kind.name, instance: name as InstanceName, role: 'rig', sequence: 0, clock: 0, atUnixMs: timers.unixMs(), ...fields })
  }

  const reportExit = async (child: ChildProcess): Promise<ExitReport> => await new Promise(resolve => {
    child.once('close', (code, signal) => {
      report(RigEvent.processExited, { reason: signal ?? `code ${code}` })
      resolve({ code, signal })
    })
  })

  const readLines = (child: ChildProcess, onStarted: (address: string) => void): void => {
    if (!child.stdout || !child.stderr) return
    createInterface({ input: child.stdout }).on('line', line => {
      const event = parseEvent(line)
      if (!event) return
      events.add(event)
      if (event.number === BaseEvent.processStarted.number) onStarted(event.detail ?? '')
    })
    child.stderr.on('data', chunk => { errorText = (errorText + String(chunk)).slice(-MAX_STDERR_CHARACTERS) })
  }

  // Set right after the spawn, so that closing the rig also ends a process that is still starting.
  let current: ChildProcess | undefined

  const spawnAndListen = async (): Promise<ProcessRun> => {
    writeIni(file, sections)
    const child = spawn(process.execPath, [...plan.nodeArguments ?? [], join(DIST, `${plan.binary}.mjs`), '--settings', file, '--event-lines'], { stdio: ['ignore', 'pipe', 'pipe'] })
    current = child
    const ended = reportExit(child)
    const address = await new Promise<string>((resolve, reject) => {
      const cancel = timers.after(START_TIMEOUT_MS, () => {
        child.kill('SIGKILL')
        reject(new Error(`${name} did not listen within ${START_TIMEOUT_MS} ms: ${errorText}`))
      })
      readLines(child, started => {
        cancel()
        resolve(started)
      })
      ended.then(({ code, signal }) => {
        cancel()
        reject(new StartError(`${name} exited before it listened (${signal ?? code}): ${errorText}`, code))
      })
    })
    return { child, ended, address }
  }

  // Between two runs another connection on the machine may briefly occupy the port; the process
  // then exits with ExitCode.Listen, and only that exit code is retried.
  const respawn = async (triesLeft: number): Promise<ProcessRun> => {
    try {
      return await spawnAndListen()
    } catch (error) {
      if (triesLeft <= 1 || !(error instanceof StartError) || error.code !== ExitCode.Listen) throw error
      await sleep(timers, RESTART_WAIT_MS)
      return await respawn(triesLeft - 1)
    }
  }

  let run = await spawnAndListen()
  const [address = '', controlAddress = address] = run.address.split(' ')
  sections = withPort(sections, address)
  if (controlAddress !== address) sections = { ...sections, standin: { ...sections.standin, control_port: controlAddress.split(':')[1] ?? '' } }

  const isRunning = (): boolean => current?.exitCode === null && current.signalCode === null

  const signal = (kind: NodeJS.Signals): void => {
    if (!isRunning()) return
    report(RigEvent.processSignalled, { reason: kind })
    current?.kill(kind)
  }

  const waitForExit = async (child: ChildProcess | undefined): Promise<ExitReport> => await new Promise(resolve => {
    if (!child || child.exitCode !== null || child.signalCode !== null) return resolve({ code: child?.exitCode ?? null, signal: child?.signalCode ?? null })
    child.once('close', (code, cause) => resolve({ code, signal: cause }))
  })

  const signalAndWait = async (kind: NodeJS.Signals): Promise<ExitReport> => {
    const ended = current === run.child ? run.ended : undefined
    signal(kind)
    return await (ended ?? waitForExit(current))
  }

  return {
    name,
    address,
    controlAddress,
    pid: () => current?.pid ?? -1,
    isRunning,
    kill: async () => await signalAndWait('SIGKILL'),
    pause: () => signal('SIGSTOP'),
    resume: () => signal('SIGCONT'),
    stop: async () => await signalAndWait('SIGTERM'),
    ended: async () => await run.ended,
    restart: async () => {
      if (isRunning()) await signalAndWait('SIGKILL')
      run = await respawn(RESTART_TRIES)
    },
    command: async command => await postCommand(controlAddress, command),
    dump: async () => await (await fetch(`http://${controlAddress}/control`)).json() as Record<string, unknown>,
    errorText: () => errorText
  }
}
