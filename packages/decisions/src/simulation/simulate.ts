import { SimulationConstants } from './constants.js'
import { createEventQueue } from './eventQueue.js'
import { makeRandom } from './makeRandom.js'
import { createRecorder } from './measure.js'
import { createRouter } from './router.js'
import { createServer } from './server.js'
import { createWeightStore } from './weightStore.js'

import type { Measures, Recorder } from './measure.js'
import type { EventQueue } from './eventQueue.js'
import type { SimulatedRouter } from './router.js'
import type { SimulatedServer } from './server.js'
import type { Outcome, Policies, Scenario, SimulatedRequest } from './types.js'

/** Measures over all requests, and over the observed ones. */
export interface SimulationResult {
  readonly all: Measures
  readonly observed: Measures
}

interface Fleet {
  readonly events: EventQueue
  readonly recorder: Recorder
  readonly routers: readonly SimulatedRouter[]
  readonly servers: readonly SimulatedServer[]
  readonly random: () => number
}

/** Sends a request and resends it whenever it is refused, misses its deadline or fails, until the end of the run. */
const sendUntilServed = (fleet: Fleet, request: SimulatedRequest, resendCount: number): void => {
  const { events, recorder, routers, random } = fleet
  const sentAtMs = events.nowMs()
  recorder.attempt(request)
  const router = routers[Math.floor(random() * routers.length)]!
  router.send({ request, resendCount, sentAtMs, deadlineAtMs: sentAtMs + request.patienceMs, doneTokens: 0 }, outcome => {
    recorder.outcome(request, outcome, sentAtMs, events.nowMs())
    if (outcome.kind === 'served') return
    events.at(events.nowMs() + resendAfterMs(outcome), () => sendUntilServed(fleet, request, resendCount + 1))
  })
}

const resendAfterMs = (outcome: Outcome): number =>
  outcome.kind === 'refused' ? outcome.retryAfterMs : SimulationConstants.resendMs

const publishReports = (fleet: Fleet): void => {
  const { events, routers } = fleet
  for (const [index, server] of fleet.servers.entries()) {
    const publish = (): void => {
      const report = server.report()
      events.at(events.nowMs() + SimulationConstants.reportLagMs, () => {
        for (const router of routers) router.receiveReport(index, report)
      })
      events.at(events.nowMs() + SimulationConstants.reportPeriodMs, publish)
    }
    for (const router of routers) router.receiveReport(index, server.report())
    events.at(index * SimulationConstants.reportPeriodMs / fleet.servers.length, publish)
  }
}

const scheduleOutages = (fleet: Fleet, scenario: Scenario): void => {
  for (const disturbance of scenario.disturbances) {
    if (disturbance.slowness !== Infinity) continue
    for (const [index, server] of fleet.servers.entries()) {
      if ((disturbance.server ?? index) === index) fleet.events.at(disturbance.fromMs, server.crash)
    }
  }
}

/**
 * Runs one load pattern through the decision functions in virtual time: callers that never give up, routers with
 * delayed reports, agents with queues and memory, and the weight store. The same seed gives the same results.
 */
export const simulate = (scenario: Scenario, policies: Policies, seed = 1): SimulationResult => {
  const random = makeRandom(seed)
  const events = createEventQueue()
  const recorder = createRecorder(scenario)
  const store = createWeightStore(events, policies.orderLoads)
  const environment = { events, store, policies, scenario, random, countColdStart: recorder.coldStart, recordRefusalCheck: recorder.recordRefusalCheck }
  const servers = Array.from({ length: scenario.serverCount }, (_, index) => createServer(index, environment))
  const routers = Array.from({ length: scenario.routerCount }, () => createRouter({ events, policies, scenario, servers, random }))
  const fleet: Fleet = { events, recorder, routers, servers, random }
  publishReports(fleet)
  scheduleOutages(fleet, scenario)
  for (const request of scenario.requests) events.at(request.atMs, () => sendUntilServed(fleet, request, 0))
  events.runUntil(scenario.durationMs)
  return { all: recorder.measure(), observed: recorder.measure(scenario.isObserved) }
}
