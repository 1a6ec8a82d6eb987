/** Entry point of `figmountctl`, the operators' command-line tool. */
import { createInterface } from 'node:readline/promises'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { createTimerService, describeFault, describeSettingsFault, ExitCode, loadSettings, keepProcessAlive, VERSION } from '@figmount/base'

import { explainFromFiles } from './commands/explainFromFiles.js'
import { runApply } from './commands/runApply.js'
import { runGet, runHistory, runRetire, runRollBack } from './commands/runHistory.js'
import { runDrain, runEvents, runExplain, runStatus } from './commands/runStatus.js'
import { createOperatorClient } from './operatorClient/createOperatorClient.js'
import { ctlSettings } from './settings/ctlSettings.js'

import type { CommandContext, CommandResult } from './commands/types.js'

const DEFAULT_WAIT_MS = 3_000

interface CommonArguments {
  readonly settings: string
  readonly json: boolean
}

const exitWith = (code: number, message?: string): never => {
  if (message) process.stderr.write(`${message}\n`)
  process.exit(code)
}

const confirm = async (question: string): Promise<boolean> => {
  if (!process.stdin.isTTY) return exitWith(ExitCode.Usage, 'standard input is not a terminal: pass --yes to apply without confirmation')
  const terminal = createInterface({ input: process.stdin, output: process.stdout })
  const answer = await terminal.question(`${question} [y/N] `)
  terminal.close()
  return answer.trim().toLowerCase() === 'y'
}

const print = (text: string): void => { process.stdout.write(`${text}\n`) }

const createContext = ({ settings, json }: CommonArguments): CommandContext => {
  const loaded = loadSettings(ctlSettings, settings)
  if (loaded.isLeft()) return exitWith(ExitCode.Settings, loaded.extract().map(describeSettingsFault).join('\n'))
  const { routers, operator } = loaded.unsafeCoerce()
  return {
    client: createOperatorClient(routers.addresses, operator.key),
    timers: createTimerService(),
    json,
    print,
    confirm
  }
}

const runAndExit = async (result: CommandResult): Promise<void> => {
  const outcome = await result.run()
  outcome.caseOf({
    Left: fault => exitWith(ExitCode.Failed, describeFault(fault)),
    Right: isComplete => exitWith(isComplete ? ExitCode.Ok : ExitCode.Failed)
  })
}

// The timers do not keep the process alive while a command waits. Every command exits the process itself.
keepProcessAlive()

await yargs(hideBin(process.argv))
  .scriptName('figmountctl')
  .option('settings', { type: 'string', default: 'figmountctl.ini', describe: 'INI file with the routers and the operator key' })
  .option('json', { type: 'boolean', default: false, describe: 'print JSON' })
  .option('wait-ms', { type: 'number', default: DEFAULT_WAIT_MS, describe: 'maximum time to wait until a change is in force everywhere' })
  .command('check', 'check the settings and exit', command => command, async args => {
    createContext(args)
    exitWith(ExitCode.Ok)
  })
  .command('apply <file>', 'apply a configuration file', command => command
    .positional('file', { type: 'string', demandOption: true })
    .option('yes', { type: 'boolean', default: false, describe: 'apply without confirmation' })
    .option('dry-run', { type: 'boolean', default: false, describe: 'show the changes without applying them' }),
  async args => await runAndExit(runApply(createContext(args), { file: args.file, yes: args.yes, dryRun: args.dryRun, waitMs: args.waitMs })))
  .command('get [item]', 'show items in force', command => command.positional('item', { type: 'string', default: '' }),
    async args => await runAndExit(runGet(createContext(args), args.item)))
  .command('history <item>', 'show the versions of an item', command => command.positional('item', { type: 'string', demandOption: true }),
    async args => await runAndExit(runHistory(createContext(args), args.item)))
  .command('rollback <item> <to>', 'set an item to an earlier version', command => command
    .positional('item', { type: 'string', demandOption: true })
    .positional('to', { type: 'number', demandOption: true, describe: 'version to restore' }),
  async args => await runAndExit(runRollBack(createContext(args), args.item, args.to, args.waitMs)))
  .command('retire <item>', 'retire an item', command => command.positional('item', { type: 'string', demandOption: true }),
    async args => await runAndExit(runRetire(createContext(args), args.item, args.waitMs)))
  .command('status', 'show the log, instances and replicas', command => command.option('metrics', { type: 'boolean', default: false, describe: "show the router's metrics" }),
    async args => await runAndExit(runStatus(createContext(args), args.metrics)))
  .command('drain <instance>', 'let an instance finish its work and accept no new work', command => command
    .positional('instance', { type: 'string', demandOption: true })
    .option('undo', { type: 'boolean', default: false, describe: 'cancel the drain' }),
  async args => await runAndExit(runDrain(createContext(args), args.instance, args.undo)))
  .command('explain <key>', 'show the outcome of a request and the reasons', command => command
    .positional('key', { type: 'string', demandOption: true })
    .option('caller', { type: 'string', default: '', describe: 'name of the caller' })
    .option('lines', { type: 'string', array: true, describe: 'read event lines of any number of processes from these files (- for standard input) instead of querying routers' }),
  async args => await runAndExit(args.lines ? explainFromFiles({ json: args.json, print }, args.key, args.lines) : runExplain(createContext(args), args.key, args.caller)))
  .command('events', "follow a router's events", command => command
    .option('key', { type: 'string', default: '', describe: 'only events with this request key' })
    .option('model', { type: 'string', default: '', describe: 'only events of this model' }),
  async args => await runAndExit(runEvents(createContext(args), args.key, args.model)))
  .demandCommand(1, 'no command given; --help lists the commands')
  .version(VERSION)
  .strict()
  .fail((message, error) => exitWith(ExitCode.Usage, message ?? error.message))
  .parseAsync()
