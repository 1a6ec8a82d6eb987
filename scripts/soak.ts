/** Runs fault soaks: `npm run soak -- FIRST_SEED COUNT [FAULTS [STOPS]]`. Prints one line per seed; exits with 1 if a promise was broken. */
import { runSoak } from '../platform/src/soak/runSoak.js'

const DEFAULT_FAULTS = 20
const DEFAULT_STOPS = 4

const [firstSeed = 1, count = 1, faultCount = DEFAULT_FAULTS, stopCount = DEFAULT_STOPS] = process.argv.slice(2).map(Number)
let brokenCount = 0
for (let seed = firstSeed; seed < firstSeed + count; seed++) {
  const report = await runSoak(seed, faultCount, stopCount)
  process.stdout.write(`seed ${seed}: ${report.servedCount} of ${report.callCount} served, ${report.violations.length} promises broken\n`)
  if (report.violations.length === 0) continue
  brokenCount += 1
  process.stdout.write(`${JSON.stringify(report, undefined, 2)}\n`)
}
process.exit(brokenCount > 0 ? 1 : 0)
