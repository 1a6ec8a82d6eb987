/** Runs the unit tests or the proofs with mocha. Tests named in KNOWN-RED.txt are passed over and printed. */
import { spawnSync } from 'node:child_process'
import { readFileSync } from 'node:fs'

const KNOWN_RED_FILE = 'KNOWN-RED.txt'

/** Take-overs come first in the proofs: each waits out the time of a void. */
const SUITES: Readonly<Record<string, readonly string[]>> = {
  unit: ['packages/!(proof)/src/**/*.test.ts', 'platform/src/*.test.ts'],
  proof: [
    '--timeout', '120000', '--parallel', '--jobs', '3',
    'packages/proof/src/promises/{takeOver,once}*.test.ts',
    'packages/proof/src/promises/!(takeOver*|once*).test.ts',
    'packages/proof/src/!(promises)/**/*.test.ts',
    'platform/src/proof/*.test.ts'
  ]
}

const escape = (text: string): string => text.replace(/[.*+?^${}()|[\]\\]/g, '\\$&')

/** Full titles of the tests that are known to fail: the first field of each line, fields parted by ` | `. */
const readKnownRed = (): readonly string[] => {
  const lines = readFileSync(KNOWN_RED_FILE, 'utf8').split('\n').filter(line => line.trim() !== '')
  for (const line of lines) process.stdout.write(`known red, passed over: ${line}\n`)
  return lines.map(line => line.split(' | ')[0]?.trim() ?? '')
}

const suite = SUITES[process.argv[2] ?? '']
if (!suite) throw new Error(`no such tests: ${process.argv[2]}; there are ${Object.keys(SUITES).join(', ')}`)
const knownRed = readKnownRed()
const passOver = knownRed.length === 0 ? [] : ['--grep', `^(${knownRed.map(escape).join('|')})$`, '--invert']
const run = spawnSync('npx', ['mocha', '--import=tsx', ...passOver, ...suite], { stdio: 'inherit' })
process.exit(run.status ?? 1)
