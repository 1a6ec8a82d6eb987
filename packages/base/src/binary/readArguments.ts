import { ExitCode } from './types.js'
import { VERSION } from './version.js'

/** Command-line options of a daemon. */
export interface Arguments {
  readonly settings: string
  readonly check: boolean
  readonly eventLines: boolean
  readonly eventLinesPerS: number
}

const DEFAULTS: Arguments = { settings: '', check: false, eventLines: false, eventLinesPerS: 0 }

/**
 * Parses a command line that consists only of known options, each as `--name` or `--name VALUE`; otherwise returns undefined.
 *
 * Daemons are normally started this way, and many at once after a power failure: loading yargs takes a tenth of the startup time.
 */
export const parseKnownOptions = (args: readonly string[]): Arguments | undefined => {
  let parsed = DEFAULTS
  for (let index = 0; index < args.length; index++) {
    const [option, value] = [args[index], args[index + 1]]
    if (option === '--check') parsed = { ...parsed, check: true }
    else if (option === '--event-lines') parsed = { ...parsed, eventLines: true }
    else if (value === undefined || value.startsWith('-')) return undefined
    else if (option === '--settings') parsed = { ...parsed, settings: args[++index] ?? '' }
    else if (option === '--event-lines-per-s' && /^\d+$/.test(value)) parsed = { ...parsed, eventLinesPerS: Number(args[++index]) }
    else return undefined
  }
  return parsed.settings === '' ? undefined : parsed
}

const parseWithYargs = async (name: string, summary: string, args: readonly string[]): Promise<Arguments> => {
  const { default: yargs } = await import('yargs')
  const parsed = await yargs(args)
    .scriptName(name)
    .usage(`$0 --settings FILE\n\n${summary}`)
    .option('settings', { type: 'string', demandOption: true, describe: 'INI file with the settings' })
    .option('check', { type: 'boolean', default: false, describe: 'check the settings and exit' })
    .option('event-lines', { type: 'boolean', default: false, describe: 'write events to standard output, one JSON object per line' })
    .option('event-lines-per-s', { type: 'number', default: 0, describe: 'maximum event lines per second; lines beyond it are dropped and counted; 0 for no limit' })
    .version(VERSION)
    .strict()
    .fail((message, error) => {
      process.stderr.write(`${message ?? error.message}\n`)
      process.exit(ExitCode.Usage)
    })
    .parseAsync()
  return { settings: parsed.settings, check: parsed.check, eventLines: parsed.eventLines, eventLinesPerS: parsed.eventLinesPerS }
}

/** Parses a daemon's command line. For help, version and errors it prints the text and exits the process. */
export const readArguments = async (name: string, summary: string, args: readonly string[]): Promise<Arguments> =>
  parseKnownOptions(args) ?? await parseWithYargs(name, summary, args)
