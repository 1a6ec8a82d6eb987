import { spawn } from 'node:child_process'
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

import type { ChildProcess } from 'node:child_process'

const SETTINGS_PATH = '/etc/figmount/local.toml'
const START_LIMIT_MS = 20_000
const MAX_LINE_LENGTH = 200

/** Names and figures of the settings file, as the platform's page lists them. */
export type SettingsFields = Readonly<Record<string, unknown>>

/** The settings that both roles share, with the bounds of the small deployments' sheets. */
export const commonFields = (name: string, ip: string, agentPort: number, storeAddress: string, isFirstStart: boolean): SettingsFields => ({
  'node-name': name,
  zone: 'east',
  ip,
  'port-range': [agentPort, agentPort + 15],
  bootstrap: isFirstStart,
  limits: { 'link-mbps': 1000 },
  bounds: { 'retry-budget-ratio': 0.2, 'budget-window-s': 10, 'budget-slack': 54, 'grace-s': 8, 'drain-ms': 2000 },
  platform: { address: storeAddress }
})

const valueAt = (fields: unknown, path: string): unknown => {
  let value = fields
  for (const step of path.split('.')) value = (value as Record<string, unknown> | undefined)?.[step]
  return value
}

const render = (template: string, fields: SettingsFields): string =>
  template.replaceAll(/\{\{([\w.-]+)\}\}/g, (_, path: string) => String(valueAt(fields, path) ?? ''))

/** The part of the deploy file that belongs to one role. */
const readRole = (role: string): { readonly command: readonly string[], readonly template: string } => {
  const [, rest = ''] = readFileSync('deploy/system.toml', 'utf8').split(`[roles.${role}]`)
  const [section = ''] = rest.split(/^\[/m)
  const textOf = (key: string): string => new RegExp(`^${key} = "(.*)"$`, 'm').exec(section)?.[1] ?? ''
  return { command: textOf('run').split(' '), template: readFileSync(textOf('template'), 'utf8') }
}

/** A running program of the project. */
export interface Program {
  readonly child: ChildProcess
  readonly ended: Promise<number | null>
  /** Kills it and waits for its end. */
  readonly kill: () => Promise<void>
}

/** Starts programs and writes the record of one run. */
export interface Bench {
  /** Starts the program of a role with the deploy file's command, and resolves once it listens. */
  readonly start: (role: 'router' | 'agent', fields: SettingsFields) => Promise<Program>
  /** Adds a line to the run's record, with the time since its start. */
  readonly note: (text: string) => void
  /** Ends all processes that were started. */
  readonly close: () => Promise<void>
}

/** What a program writes of an error, without the line of bundled code that Node shows with it. */
const describeErrors = (role: string, text: string): string => {
  const lines = text.replaceAll(`${process.cwd()}/`, '').split('\n').filter(line => line.trim() !== '' && line.length < MAX_LINE_LENGTH)
  return lines.map(line => `${role} writes: ${line}\n`).join('')
}

/** Prepares a run whose record is written to the given file. */
export const openBench = (recordFile: string): Bench => {
  const folder = mkdtempSync(join(tmpdir(), 'figmount-review-'))
  const programs = new Set<Program>()
  const startedMs = performance.now()
  let fileCount = 0
  writeFileSync(recordFile, '')
  process.once('exit', () => {
    for (const { child } of programs) child.kill('SIGKILL')
  })

  const start: Bench['start'] = async (role, fields) => {
    const { command, template } = readRole(role)
    const file = join(folder, `${role}-${fileCount++}.ini`)
    writeFileSync(file, render(template, fields))
    const [, ...args] = command.map(word => word === SETTINGS_PATH ? file : word)
    const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'pipe'] })
    const ended = new Promise<number | null>(resolve => { child.once('close', resolve) })
    const program: Program = {
      child,
      ended,
      kill: async () => {
        child.kill('SIGCONT')
        child.kill('SIGKILL')
        await ended
      }
    }
    programs.add(program)
    const isUp = new Promise<boolean>(resolve => {
      child.stdout.on('data', chunk => { if (String(chunk).includes('processStarted')) resolve(true) })
      child.once('close', () => resolve(false))
      setTimeout(() => resolve(false), START_LIMIT_MS).unref()
    })
    child.stderr.on('data', chunk => { appendFileSync(recordFile, describeErrors(role, String(chunk))) })
    if (!await isUp) throw new Error(`the ${role} did not start`)
    return program
  }

  return {
    start,
    note: text => { appendFileSync(recordFile, `${((performance.now() - startedMs) / 1000).toFixed(3)} ${text}\n`) },
    close: async () => {
      for (const program of programs) await program.kill()
      rmSync(folder, { recursive: true })
    }
  }
}

/** A loopback network of its own for one run, so that runs beside each other do not meet. */
export const drawNetwork = (): (host: number) => string => {
  const draw = (): number => 16 + Math.floor(Math.random() * 200)
  const [second, third] = [draw(), draw()]
  return host => `127.${second}.${third}.${host}`
}

/** True unless the run is to go without its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0'

const BROKEN = 1
const HELD = 0
const FAILED = 2

/** Plays one case and ends this process with its result: `play` resolves to true if the rule was broken. */
export const playCase = async (recordFile: string, play: (bench: Bench) => Promise<boolean>): Promise<void> => {
  const bench = openBench(recordFile)
  let code = FAILED
  try {
    code = await play(bench) ? BROKEN : HELD
  } catch (error) {
    bench.note(`the case could not run: ${(error as Error).message}`)
  }
  bench.note(`result ${code}`)
  await bench.close()
  process.exit(code)
}
