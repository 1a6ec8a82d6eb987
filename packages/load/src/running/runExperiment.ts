import { createRandom } from '../arrivals/createRandom.js'
import { planArrivals } from '../arrivals/planArrivals.js'
import { LoadEvent } from '../events.js'
import { scheduleFaults } from '../faults/scheduleFaults.js'
import { summarise } from '../report/summarise.js'
import { createSender } from './createSender.js'
import { runPlan } from './runPlan.js'

import type { EventLog, TimerService } from '@figmount/base'
import type { Experiment } from '../experiment/types.js'
import type { RunFigures } from '../report/types.js'
import type { CheckTokens } from './createSender.js'
import type { RunProgress } from './types.js'

interface Options {
  readonly timers: TimerService
  readonly events: EventLog
  readonly checkTokens: CheckTokens
  readonly onProgress: (progress: RunProgress) => void
  readonly signal: AbortSignal
}

/** Runs an experiment once against its routers and computes the figures. */
export const runExperiment = async (experiment: Experiment, options: Options): Promise<RunFigures> => {
  const { timers, events, checkTokens, onProgress, signal } = options
  const plan = planArrivals(experiment)
  const send = createSender({
    experiment, addresses: experiment.routers, timers, events, random: createRandom(experiment.seed), checkTokens
  })
  events.emit(LoadEvent.runStarted, { item: experiment.name, count: plan.length })
  const cancelFaults = scheduleFaults(timers, experiment.faults, fault =>
    events.emit(LoadEvent.faultFailed, { step: fault.step, peer: fault.peer, reason: fault.message }))
  const run = await runPlan(plan, { timers, send, onProgress, signal })
  cancelFaults()
  events.emit(LoadEvent.runEnded, { item: experiment.name, count: run.results.length, durationMs: run.elapsedMs })
  return summarise(run, experiment.warmUpMs)
}
