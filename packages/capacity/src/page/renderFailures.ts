import { SLOTS_PER_MODEL } from '../model/computeCapacity.js'
import { Target } from '../target/constants.js'

import type { Slope } from '../slopes/types.js'

/** Loads per second of the weight store in the larger of today's deployments. */
const STORE_LOADS_PER_SECOND = 4
/** Runners in a rack; the target does not state it, so 16 is an assumption. */
const RACK_SIZE = 16
/** Models loaded on a runner at a time; the target does not state it, so one is an assumption. */
const LOADED_MODELS_PER_RUNNER = 1

const SECONDS_PER_MINUTE = 60

const loadMinutes = (loads: number): string => (loads / STORE_LOADS_PER_SECOND / SECONDS_PER_MINUTE).toFixed(1)

const slotsPerAgent = Target.modelCount * SLOTS_PER_MODEL / Target.agentCount

const row = (what: string, detection: string, effect: string, agentCount: number): string => {
  const loads = agentCount * LOADED_MODELS_PER_RUNNER
  return `| ${what} | ${detection} | ${effect} | ${Math.round(agentCount * (slotsPerAgent + 1))} records | ${loads} | ${loadMinutes(loads)} min |`
}

/** Renders the table of daily and rare failures: detection, effect, appends and loads. */
export const renderFailures = (slopes: readonly Slope[]): string => {
  const rebuild = slopes.find(slope => slope.name === 'records.rebuild')
  const rebuildMs = rebuild ? Math.round(rebuild.intercept + rebuild.slope * Target.modelCount * (SLOTS_PER_MODEL + 1)) : 0
  const perDataCentre = Target.agentCount / Target.dataCentreCount
  return [
    '## Failures',
    `A router or agent that starts rebuilds the agreed state in about ${rebuildMs} ms from all records, less from a snapshot. Loads ` +
    `are counted at ${LOADED_MODELS_PER_RUNNER} loaded model on each runner and ${STORE_LOADS_PER_SECOND} loads a second, the larger of today's stores, all of them remote: the worst case.`,
    '| failure | who notices, when | what moves | appends | loads | until all is loaded again |',
    '|---|---|---|---|---|---|',
    row('an agent restarts (610 a day with routers)', 'routers: link closed, at once; agent: its own start', 'nothing; its keys get a new tenure', 1),
    row('a runner is lost (41 a day)', 'routers: link closed or silent for 3 s; list: 30 s', 'its slots after 30 s + 9 s; requests at once to other replicas', 1),
    row(`a rack of ${RACK_SIZE}, weekly`, 'the same, all at once; no request becomes a suspect for it', 'its slots, in rounds of at most 100 voids', RACK_SIZE),
    row(`a data centre of ${perDataCentre}, every other month`, 'the same', 'its slots; consecutive slots lie in other data centres, so models with two or more stay served', perDataCentre),
    '| a router is lost | callers: no frame for 3 s; balancer | nothing; callers resend, requests that may not be repeated join their attempt | 0 records | 0 | at once |',
    '| regions apart for an hour | processes: the log is out of reach, within 5 s | nothing is granted or voided in the region without the log | 0 records | those of idle models that wake there | nothing to be brought back: the fold goes on where it stood |'
  ].join('\n').replace('\n| failure', '\n\n| failure')
}
