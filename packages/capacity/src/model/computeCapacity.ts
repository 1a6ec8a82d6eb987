import { MAX_IDLE_LINKS, REPORTS_PER_SECOND } from '../../../router/src/links/constants.js'
import { Target } from '../target/constants.js'

import type { Slope } from '../slopes/types.js'
import type { CapacityRow, ControlTotal, RoleCapacity } from './types.js'

const SECONDS_PER_DAY = 86_400
const US_PER_SECOND = 1_000_000
const BYTES_PER_MB = 1_000_000

/**
 * Replica slots of each model. The target does not state their number: with six, 1,200 models have one slot per accelerator.
 * A request is assumed to last for its number of tokens times the target's gap between tokens.
 */
export const SLOTS_PER_MODEL = 6

/** Finds a slope by name; throws if it was not measured, since the page cannot be computed without it. */
type SlopeLookup = (name: string) => Slope

const createSlopeLookup = (slopes: readonly Slope[]): SlopeLookup => name => {
  const found = slopes.find(slope => slope.name === name)
  if (!found) throw new Error(`measurement ${name} does not exist`)
  return found
}

const valueAt = (slope: Slope, size: number): number => Math.max(0, slope.intercept + slope.slope * size)

const rightCount = Target.modelCount * (SLOTS_PER_MODEL + 1)
const requestsPerRouter = Target.requestsPerSecond / Target.routerCount
const tokensPerRequest = Target.tokensPerSecond / Target.requestsPerSecond
const requestSeconds = tokensPerRequest * Target.tokenGapMs / 1000
const runningPerRouter = requestsPerRouter * requestSeconds
const changesPerSecond = Target.changesPerDay / SECONDS_PER_DAY
/** A restart appends an announcement and up to two renewals of key rights. */
const recordsPerRestart = 3
const recordsPerSecond = changesPerSecond + (Target.restartsPerDay + Target.failuresPerDay) * recordsPerRestart / SECONDS_PER_DAY

/** Expected number of links with running requests; requests to the same agent share a link. */
const busyLinkCount = (): number => Target.agentCount * (1 - Math.exp(-runningPerRouter / Target.agentCount))

/** Number of links of a router: the busy ones and the maximum of idle ones. */
export const linksPerRouter = (): number => busyLinkCount() + MAX_IDLE_LINKS

const createRow = (what: string, mechanism: string, from: string, figures: Partial<Pick<CapacityRow, 'processorUsPerSecond' | 'bytesPerSecond' | 'memoryMb'>>): CapacityRow =>
  ({ what, mechanism, from, processorUsPerSecond: 0, bytesPerSecond: 0, memoryMb: 0, ...figures })

const logRow = (slopeOf: SlopeLookup): CapacityRow => {
  const foldUs = valueAt(slopeOf('fold.agentUp'), rightCount)
  const changeBytes = valueAt(slopeOf('config.changeBytes'), rightCount)
  return createRow('follow the log', 'long poll, pure fold, records passed on by peers', `${recordsPerSecond.toFixed(3)} records/s × fold.agentUp + config.changeBytes`, {
    processorUsPerSecond: recordsPerSecond * foldUs,
    bytesPerSecond: recordsPerSecond * changeBytes
  })
}

const computeRouter = (slopeOf: SlopeLookup): RoleCapacity => {
  const links = linksPerRouter()
  const busyProcessorUs = slopeOf('router.link.busy.processor').slope
  const busyBytes = slopeOf('router.link.busy.bytes').slope
  const request = slopeOf('router.request')
  return {
    role: 'router',
    state: `${Target.modelCount} models, ${Target.adapterCount} adapters, ${rightCount} rights, ${Target.agentCount} agents; ${Math.round(runningPerRouter)} running requests; ${Math.round(links)} links`,
    messages: `${requestsPerRouter.toFixed(1)} requests/s, ${Math.round(requestsPerRouter * tokensPerRequest)} tokens/s, ${recordsPerSecond.toFixed(3)} records/s`,
    control: [
      createRow('agreed state and process', 'one fold, shared by all slices', 'router.memory', { memoryMb: valueAt(slopeOf('router.memory'), rightCount) }),
      createRow('timers and proposals at rest', 'rounds on change, else every 500 ms', 'router.idle', { processorUsPerSecond: valueAt(slopeOf('router.idle'), rightCount) }),
      createRow('heartbeats on idle links', 'links on demand, the longest idle closed beyond a bound', `${MAX_IDLE_LINKS} links × router.link.idle`, {
        processorUsPerSecond: MAX_IDLE_LINKS * slopeOf('router.link.idle.processor').slope,
        bytesPerSecond: MAX_IDLE_LINKS * slopeOf('router.link.idle.bytes').slope
      }),
      createRow('reports on busy links', 'no heartbeat where messages flow; a bounded number of reports a second over all links', `${REPORTS_PER_SECOND} reports/s × router.link.busy`, {
        processorUsPerSecond: REPORTS_PER_SECOND * busyProcessorUs,
        bytesPerSecond: REPORTS_PER_SECOND * busyBytes
      }),
      logRow(slopeOf)
    ],
    data: [
      createRow('requests and tokens', 'frames that gather tokens, Connect stream to the caller', `${requestsPerRouter.toFixed(1)}/s × (router.request intercept + ${Math.round(tokensPerRequest)} tokens × slope)`, {
        processorUsPerSecond: requestsPerRouter * valueAt(request, tokensPerRequest)
      })
    ]
  }
}

const computeAgent = (slopeOf: SlopeLookup): RoleCapacity => {
  const requestsPerAgent = Target.requestsPerSecond / Target.agentCount
  const idleLinks = MAX_IDLE_LINKS * Target.routerCount / Target.agentCount
  const reportsPerSecond = REPORTS_PER_SECOND * Target.routerCount / Target.agentCount
  const linksPerAgent = linksPerRouter() * Target.routerCount / Target.agentCount
  return {
    role: 'agent',
    state: `the same agreed state; ${(rightCount / Target.agentCount).toFixed(1)} rights of its own; ${Math.round(requestsPerAgent * requestSeconds)} running requests; ${linksPerAgent.toFixed(0)} links`,
    messages: `${requestsPerAgent.toFixed(2)} requests/s, ${Math.round(Target.tokensPerSecond / Target.agentCount)} tokens/s`,
    control: [
      createRow('agreed state and process', 'one fold', 'agent.memory', { memoryMb: valueAt(slopeOf('agent.memory'), rightCount) }),
      createRow('timers and plans at rest', 'plans on change, else every 100 ms', 'agent.idle', { processorUsPerSecond: valueAt(slopeOf('agent.idle'), rightCount) }),
      createRow('heartbeats and reports', 'answered on the routers\' links, only what has changed', `${idleLinks.toFixed(2)} idle links × router.link.idle + ${reportsPerSecond.toFixed(2)} reports/s × router.link.busy, taken as alike at this end`, {
        processorUsPerSecond: idleLinks * slopeOf('router.link.idle.processor').slope + reportsPerSecond * slopeOf('router.link.busy.processor').slope,
        bytesPerSecond: idleLinks * slopeOf('router.link.idle.bytes').slope + reportsPerSecond * slopeOf('router.link.busy.bytes').slope
      }),
      logRow(slopeOf)
    ],
    data: [
      createRow('requests and tokens', 'engine streams, tokens gathered into frames', `${requestsPerAgent.toFixed(2)}/s × agent.request`, {
        processorUsPerSecond: requestsPerAgent * valueAt(slopeOf('agent.request'), tokensPerRequest)
      })
    ]
  }
}

const computeLog = (slopeOf: SlopeLookup): RoleCapacity => {
  const readers = Target.routerCount + Target.agentCount
  const changeBytes = valueAt(slopeOf('config.changeBytes'), rightCount)
  return {
    role: "the platform's log",
    state: `a snapshot of ${(valueAt(slopeOf('snapshot.bytes'), rightCount) / BYTES_PER_MB).toFixed(2)} MB and what came after it`,
    messages: `${recordsPerSecond.toFixed(3)} appends/s, ${Math.round(recordsPerSecond * readers)} answers of long polls a second to ${readers} readers`,
    control: [
      createRow('answers to readers', 'long polls; a record goes to every reader', `${recordsPerSecond.toFixed(3)} records/s × ${readers} readers × config.changeBytes`, { bytesPerSecond: recordsPerSecond * readers * changeBytes })
    ],
    data: []
  }
}

/** Computes the resources of every role at the target size from measured slopes. */
export const computeCapacity = (slopes: readonly Slope[]): readonly RoleCapacity[] => {
  const slopeOf = createSlopeLookup(slopes)
  return [computeRouter(slopeOf), computeAgent(slopeOf), computeLog(slopeOf)]
}

/** Sums of a role's control rows. */
export const sumControl = (role: RoleCapacity): ControlTotal => ({
  coreShare: role.control.reduce((sum, row) => sum + row.processorUsPerSecond, 0) / US_PER_SECOND,
  bytesPerSecond: role.control.reduce((sum, row) => sum + row.bytesPerSecond, 0),
  memoryMb: role.control.reduce((sum, row) => sum + row.memoryMb, 0)
})
