import { build } from 'hdr-histogram-js'
import { checkEngines, listAnswerFaults } from '@figmount/proof'

import { overlaps } from './intervals.js'
import { sumIdleSeconds, findLoadIntervals } from './readEngines.js'

import type { EventRecord } from '@figmount/base'
import type { RequestOutcome } from '@figmount/proof'

/** An outcome with the wall-clock time of the first send. */
export interface TimedOutcome {
  readonly outcome: RequestOutcome
  readonly startedAtMs: number
}

/** Events shown in the short time line. */
const TIME_LINE_EVENTS: ReadonlySet<string> = new Set([
  'loadStarted', 'loadFinished', 'loadFailed', 'modelUnloaded', 'listChanged', 'processExited', 'processSignalled',
  'agentLeaving', 'drainStarted', 'drainEmpty', 'drainBegun', 'configAccepted', 'announced', 'rightReleased'
])

const SIGNIFICANT_DIGITS = 3

const quantilesMs = (values: readonly number[]): string => {
  if (values.length === 0) return 'none'
  const histogram = build({ highestTrackableValue: 3_600_000, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS })
  for (const value of values) histogram.recordValue(Math.max(0, Math.round(value)))
  return `p50 ${histogram.getValueAtPercentile(50)} ms, p99 ${histogram.getValueAtPercentile(99)} ms (${values.length})`
}

/** Time from the first send to the first token, including resends. */
const firstTokenMs = ({ sends, totalMs, last }: RequestOutcome): number =>
  sends.length === 1 ? last.firstTokenMs : totalMs - last.totalMs + last.firstTokenMs

const write = (line: string): void => { process.stdout.write(`${line}\n`) }

const printCallers = (outcomes: readonly TimedOutcome[]): void => {
  write('\nRequests by caller and model')
  const targets = new Set(outcomes.map(({ outcome: { plan } }) => `${plan.caller} ${plan.service}/${plan.model}${plan.adapter ? `+${plan.adapter}` : ''}`))
  for (const target of targets) {
    const matching = outcomes.filter(({ outcome: { plan } }) => `${plan.caller} ${plan.service}/${plan.model}${plan.adapter ? `+${plan.adapter}` : ''}` === target)
    const answeredCount = matching.filter(({ outcome }) => outcome.last.kind === 'answered').length
    const resendCount = matching.reduce((sum, { outcome }) => sum + outcome.sends.length - 1, 0)
    write(`  ${target.padEnd(44)} sent ${String(matching.length).padStart(3)}  answered ${String(answeredCount).padStart(3)}  resent ${String(resendCount).padStart(3)}`)
  }
}

const printLatencies = (outcomes: readonly TimedOutcome[], events: readonly EventRecord[]): void => {
  const loads = findLoadIntervals(events)
  const isCold = ({ outcome, startedAtMs }: TimedOutcome): boolean => loads.some(load =>
    load.model === `${outcome.plan.service}/${outcome.plan.model}` &&
    overlaps(load, { fromMs: startedAtMs, toMs: startedAtMs + firstTokenMs(outcome) }))
  const answered = outcomes.filter(({ outcome }) => outcome.last.kind === 'answered')
  write('\nTime to the first token')
  write(`  cold  ${quantilesMs(answered.filter(isCold).map(({ outcome }) => firstTokenMs(outcome)))}`)
  write(`  warm  ${quantilesMs(answered.filter(timed => !isCold(timed)).map(({ outcome }) => firstTokenMs(outcome)))}`)
}

const printTimeLine = (events: readonly EventRecord[]): void => {
  const startMs = events[0]?.atUnixMs ?? 0
  write('\nTime line')
  for (const event of [...events].sort((a, b) => a.atUnixMs - b.atUnixMs)) {
    if (!TIME_LINE_EVENTS.has(event.name)) continue
    const details = [event.model, event.item, event.version, event.reason, event.detail].filter(Boolean).join(' ')
    write(`  ${((event.atUnixMs - startMs) / 1000).toFixed(2).padStart(6)} s  ${event.instance.padEnd(12)} ${event.name.padEnd(16)} ${details}`)
  }
}

/** Prints the report of a run; returns the violated promises, empty if there are none. */
export const printReport = (outcomes: readonly TimedOutcome[], events: readonly EventRecord[], maxReplicasOf: (model: string) => number): readonly string[] => {
  const findings = checkEngines(events)
  const isNonRepeatable = new Map(outcomes.map(({ outcome: { plan } }) => [plan.prompt, plan.repeatable === false]))
  printTimeLine(events)
  printCallers(outcomes)
  printLatencies(outcomes, events)
  const loadCount = [...findings.loadCounts.values()].reduce((sum, count) => sum + count, 0)
  write(`\nLoads ${loadCount}: ${[...findings.loadCounts].map(([model, count]) => `${model} ${count}`).join(', ')}`)
  write(`Idle accelerator seconds ${sumIdleSeconds(events).toFixed(1)}`)
  return [
    ...outcomes.flatMap(({ outcome }) => listAnswerFaults(outcome)),
    ...[...findings.maxReplicas].filter(([model, count]) => count > maxReplicasOf(model)).map(([model, count]) => `${model}: ${count} replicas`),
    ...findings.overcommits.map(event => `${event.instance}: ${event.memoryMb} of ${event.memoryCapacityMb} MB`),
    ...[...findings.runCounts].filter(([prompt, count]) => count > 1 && isNonRepeatable.get(prompt)).map(([prompt, count]) => `${prompt}: ran ${count} times`)
  ]
}
