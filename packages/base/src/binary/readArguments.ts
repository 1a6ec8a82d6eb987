import { ExitCode } from './types.js'
import { VERSION } from './version.js'

/** What a daemon is started with. */
export interface Arguments {
  readonly settings: string
  readonly check: boolean
  readonly eventLines: boolean
  readonly eventLinesPerS: number
}

const NONE: Arguments = { settings: '', check: false, eventLines: false, eventLinesPerS: 0 }

/**
 * Reads a command line that only has known options, each as `--name` or `--name VALUE`; undefined for any other one.
 *
 * Daemons are started so, many at a time after a loss of power: the command line's library takes a tenth of a start.
 */
export const readPlainArguments = (words: readonly string[]): Arguments | undefined => {
  let read = NONE
  for (let index = 0; index < words.length; index++) {
    const [word, value] = [words[index], words[index + 1]]
    if (word === '--check') read = { ...read, check: true }
    else if (word === '--event-lines') read = { ...read, eventLines: true }
    else if (value === undefined || value.startsWith('-')) return undefined
    else if (word === '--settings') read = { ...read, settings: words[++index] ?? '' }
    else if (word === '--event-lines-per-s' && /^\d+$/.test(value)) read = { ...read, eventLinesPerS: Number(words[++index]) }
    else return undefined
  }
  return read.settings === '' ? undefined : read
}

const readByLibrary = async (name: string, summary: string, words: readonly string[]): Promise<Arguments> => {
  const { default: yargs } = await import('yargs')
  const parsed = await yargs(words)
    .scriptName(name)
    .usage(`$0 --settings FILE\n\n${summary}`)
    .option('settings', { type: 'string', demandOption: true, describe: 'INI file with the settings' })
    .option('check', { type: 'boolean', default: false, describe: 'check the settings and exit' })
    .option('event-lines', { type: 'boolean', default: false, describe: 'write events to standard output, one JSON object a line' })
    .option('event-lines-per-s', { type: 'number', default: 0, describe: 'most event lines a second; the rest is left out and counted; 0 writes all' })
    .version(VERSION)
    .strict()
    .fail((message, error) => {
      process.stderr.write(`${message ?? error.message}\n`)
      process.exit(ExitCode.Usage)
    })
    .parseAsync()
  return { settings: parsed.settings, check: parsed.check, eventLines: parsed.eventLines, eventLinesPerS: parsed.eventLinesPerS }
}

/** Reads a daemon's command line; prints help, version or what is wrong with it and ends the process. */
export const readArguments = async (name: string, summary: string, words: readonly string[]): Promise<Arguments> =>
  readPlainArguments(words) ?? await readByLibrary(name, summary, words)
