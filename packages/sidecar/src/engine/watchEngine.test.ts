import { expect } from 'chai'
import { EitherAsync, Left, Right } from 'purify-ts'
import { createEventLog, createVirtualTimers, makeFault } from '@figmount/base'

import { watchEngine } from './watchEngine.js'

import type { Either } from 'purify-ts'
import type { Fault, InstanceName } from '@figmount/base'
import type { EnginePort, ServerReport } from '@figmount/fleet'

const POLL_MS = 100

const makeReport = (isDraining: boolean, orderCount = 0, startedAtUnixMs = 1_000): Either<Fault, ServerReport> => Right({
  startedAtUnixMs, models: [], arrivingAdapters: [], isBusy: false, isDraining, orderCount, runningCount: 1, startingCount: 0, inMemory: [], onDisk: []
})
const REFUSED: Either<Fault, ServerReport> = Left(makeFault('unavailable', 'engine.report', 'e', 'refused'))
const SILENT: Either<Fault, ServerReport> = Left(makeFault('timeout', 'engine.report', 'e', 'no answer'))

/** Returns the number of reports that were read when the engine counted as down first; undefined if it never did. */
const pollsUntilDown = async (reports: ReadonlyArray<Either<Fault, ServerReport>>, take: (report: ServerReport) => void = () => {}): Promise<number | undefined> => {
  const timers = createVirtualTimers()
  let readCount = 0
  let downAfter: number | undefined
  const engine: Pick<EnginePort, 'readReport'> = { readReport: () => EitherAsync.liftEither(reports[Math.min(readCount++, reports.length - 1)] ?? SILENT) }
  const watch = watchEngine({
    engine: engine as EnginePort,
    timers,
    events: createEventLog({ instance: 'a' as InstanceName, role: 'agent', timers }),
    nextPollMs: () => POLL_MS,
    take,
    down: () => { downAfter ??= readCount }
  })
  for (let poll = 0; poll < reports.length + 3; poll++) {
    await new Promise(resolve => { setImmediate(resolve) })
    timers.advance(POLL_MS)
  }
  watch.stop()
  return downAfter
}

describe('the watch of an engine', () => {
  it('counts an engine as down at the first refused connection', async () => {
    expect(await pollsUntilDown([makeReport(false), REFUSED])).to.equal(2)
  })

  it('counts an engine as down that does not answer twice, leaving or not', async () => {
    expect(await pollsUntilDown([makeReport(false), SILENT, SILENT])).to.equal(3)
    expect(await pollsUntilDown([makeReport(true), SILENT, SILENT])).to.equal(3)
  })

  it('does not count a leaving engine as down that takes no more connections', async () => {
    // Guards against streams that are cut at an engine which finishes them as announced.
    expect(await pollsUntilDown([makeReport(true), REFUSED, REFUSED, REFUSED])).to.equal(undefined)
  })

  it('counts the next start at the address as down once it refuses connections', async () => {
    expect(await pollsUntilDown([makeReport(true), REFUSED, makeReport(false, 0, 2_000), REFUSED])).to.equal(4)
  })

  it('takes no report that is older than the newest of the same start', async () => {
    // Guards against late copies of reports: the agent would act on what the engine held before.
    const taken: Array<readonly [number, boolean]> = []
    const reports = [makeReport(false, 2), makeReport(false, 1), makeReport(true, 2), makeReport(false, 2), makeReport(false, 0, 2_000), REFUSED]
    await pollsUntilDown(reports, ({ orderCount, isDraining }) => { taken.push([orderCount, isDraining]) })
    expect(taken).to.deep.equal([[2, false], [2, true], [0, false]])
  })

  it('believes an engine that goes on to report an earlier state', async () => {
    // Guards against one odd report after which no other one is taken.
    const taken: number[] = []
    const sound = makeReport(false, 1)
    await pollsUntilDown([sound, makeReport(false, 900), sound, sound, sound, sound, REFUSED], ({ orderCount }) => { taken.push(orderCount) })
    expect(taken).to.deep.equal([1, 900, 1, 1])
  })

  it('polls on after a report that its taker failed on', async () => {
    // Guards against an agent that reads no report any more, so that its engine loads no models.
    expect(await pollsUntilDown([makeReport(false), REFUSED], () => { throw new RangeError('odd') })).to.equal(2)
  })
})
