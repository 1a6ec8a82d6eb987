import { creditSend, fullBudget, spendBoth } from '../retries/budget.js'
import { viewGroup } from '../routing/estimateCost.js'

import { SimulationConstants } from './constants.js'
import { createPendingRetryMeter, createRateMeter } from './rateMeter.js'

import type { CallerName, InstanceName, LogOffset } from '@figmount/base'
import type { RetryBudget } from '../retries/budget.js'
import type { RoutingCandidate } from '../routing/types.js'
import type { EventQueue } from './eventQueue.js'
import type { ServerReport, SimulatedServer } from './server.js'
import type { Attempt, Outcome, Policies, Scenario } from './types.js'

/** A simulated router with the last report of each server and its own sends since. */
export interface SimulatedRouter {
  readonly send: (attempt: Attempt, reply: (outcome: Outcome) => void) => void
  readonly receiveReport: (server: number, report: ServerReport) => void
}

interface OwnSend {
  readonly atMs: number
  readonly seconds: number
}

interface OwnSends {
  readonly add: (send: OwnSend) => void
  readonly remove: (send: OwnSend) => void
  readonly dropUntil: (atMs: number) => void
  readonly seconds: () => number
}

const createOwnSends = (): OwnSends => {
  let sends = new Set<OwnSend>()
  let sum = 0
  return {
    add: send => { sends.add(send); sum += send.seconds },
    remove: send => { if (sends.delete(send)) sum -= send.seconds },
    dropUntil: atMs => {
      sends = new Set([...sends].filter(send => send.atMs > atMs))
      sum = [...sends].reduce((total, send) => total + send.seconds, 0)
    },
    seconds: () => sum
  }
}

export interface RouterEnvironment {
  readonly events: EventQueue
  readonly policies: Policies
  readonly scenario: Scenario
  readonly servers: readonly SimulatedServer[]
  readonly random: () => number
}

/** Creates a router. */
export const createRouter = ({ events, policies, scenario, servers, random }: RouterEnvironment): SimulatedRouter => {
  const reports = new Map<number, ServerReport>()
  const ownSends = servers.map(() => createOwnSends())
  const budgets = new Map<CallerName, RetryBudget>()
  const served = createRateMeter()
  const pendingRetries = createPendingRetryMeter()
  const models = new Map(scenario.models.map(spec => [spec.model, spec]))
  let serviceBudget = fullBudget(0)

  const candidateOf = (server: number, attempt: Attempt): RoutingCandidate | undefined => {
    const report = reports.get(server)
    const { model, prefix } = attempt.request
    if (!report || report.isDown) return undefined
    const reportAgeMs = events.nowMs() - report.takenAtMs
    const state = report.stateOf.get(model) ?? 'cold'
    const isLoading = state === 'loading'
    return {
      instance: `server-${server}` as InstanceName,
      slotIndex: server,
      fence: 0 as LogOffset,
      state,
      readyInMs: Math.max(0, (report.readyInMs.get(model) ?? 0) - (isLoading ? reportAgeMs : 0)),
      queuedSeconds: policies.seesPriorities ? report.queuedSecondsFrom(attempt.request.priority) : report.queuedSeconds,
      unreportedSeconds: ownSends[server]!.seconds(),
      reportAgeMs,
      batchSize: report.batchSize,
      tokenIntervalMs: report.tokenIntervalMs,
      tokenIntervalAgeMs: events.nowMs() - report.tokenAtMs,
      hasAdapter: true,
      hasPrefix: prefix !== '' && report.prefixes.has(prefix),
      sameDataCentre: true
    }
  }

  const mayRetry = (caller: CallerName, triedCount: number): boolean => {
    if (triedCount >= SimulationConstants.routerTries) return false
    if (!policies.hasRetryBudget || triedCount <= SimulationConstants.freeTries) return true
    const left = spendBoth(budgets.get(caller) ?? fullBudget(0), serviceBudget, events.nowMs())
    if (!left) return false
    budgets.set(caller, left.caller)
    serviceBudget = left.service
    return true
  }

  const refuse = (attempt: Attempt, shortfallMs: number, reply: (outcome: Outcome) => void): void => {
    const retryAfterMs = policies.chooseRetryAfter({
      estimatedWaitMs: Math.max(0, shortfallMs),
      recentRefusals: pendingRetries.count(events.nowMs()),
      servedPerSecond: served.perSecond(events.nowMs()),
      resendCount: attempt.resendCount
    }, random)
    answerRefusal(retryAfterMs, reply)
  }

  const answerRefusal = (retryAfterMs: number, reply: (outcome: Outcome) => void): void => {
    pendingRetries.add(events.nowMs() + retryAfterMs)
    reply({ kind: 'refused', retryAfterMs })
  }

  const sendTo = (server: number, attempt: Attempt, reply: (outcome: Outcome) => void, tried: readonly number[]): void => {
    const seconds = attempt.request.expectedTokens * SimulationConstants.tokenIntervalMs / scenario.batchSlots / 1_000
    const ownSend = { atMs: events.nowMs(), seconds }
    ownSends[server]!.add(ownSend)
    events.at(events.nowMs() + SimulationConstants.hopMs, () => {
      const verdict = servers[server]!.offer(attempt, outcome => {
        if (outcome.kind === 'served') served.record(events.nowMs())
        reply(outcome)
      })
      if (verdict.kind === 'admit') return watch(server, attempt, reply)
      ownSends[server]!.remove(ownSend)
      if (mayRetry(attempt.request.caller, tried.length)) return route(attempt, reply, tried)
      servers[server]!.checkRefusal(attempt)
      answerRefusal(verdict.retryAfterMs, reply)
    })
  }

  /** Checks a stream periodically, and resumes it on another server when the policy decides so. */
  const watch = (server: number, attempt: Attempt, reply: (outcome: Outcome) => void): void => {
    events.at(events.nowMs() + SimulationConstants.watchPeriodMs, () => {
      const progress = servers[server]!.progressOf(attempt)
      if (!progress) return
      const others = othersOf(server, attempt)
      const shouldMove = progress.isRunning && policies.chooseMove({
        isRepeatable: true,
        doneTokens: progress.doneTokens,
        expectedTokens: attempt.request.expectedTokens,
        tokenIntervalMs: progress.intervalMs,
        otherIntervalMs: viewGroup(others).medianTokenIntervalMs,
        otherWaitMs: SimulationConstants.prefillMs + Math.min(...others.map(one => (one.queuedSeconds + one.unreportedSeconds) * 1_000)),
        remainingMs: attempt.deadlineAtMs - events.nowMs()
      })
      if (!shouldMove || !mayRetry(attempt.request.caller, SimulationConstants.freeTries + 1)) return watch(server, attempt, reply)
      servers[server]!.cancel(attempt)
      const moved: Attempt = { ...attempt, doneTokens: progress.doneTokens }
      route(progress.doneTokens > 0 ? { ...moved, firstTokenAtMs: progress.firstTokenAtMs } : moved, reply, [server])
    })
  }

  const othersOf = (server: number, attempt: Attempt): readonly RoutingCandidate[] =>
    (models.get(attempt.request.model)?.servers ?? [])
      .filter(other => other !== server)
      .flatMap(other => candidateOf(other, attempt) ?? [])
      .filter(one => one.state === 'ready')

  const route = (attempt: Attempt, reply: (outcome: Outcome) => void, tried: readonly number[]): void => {
    const spec = models.get(attempt.request.model)
    if (!spec) return
    const servers = spec.servers.filter(server => !tried.includes(server))
    const candidates = servers.flatMap(server => candidateOf(server, attempt) ?? [])
    const remainingMs = attempt.deadlineAtMs - events.nowMs()
    const choice = policies.chooseBackend({
      remainingMs,
      expectedTokens: attempt.request.expectedTokens,
      priority: attempt.request.priority,
      coldStartMs: spec.loadMs,
      prefixSavingMs: SimulationConstants.prefillMs - SimulationConstants.cachedPrefillMs,
      adapterLoadMs: 0
    }, candidates, random)
    if (choice.kind === 'none') return refuse(attempt, choice.estimatedWaitMs - remainingMs, reply)
    const server = choice.candidate.slotIndex
    sendTo(server, attempt, reply, [...tried, server])
  }

  return {
    send: (attempt, reply) => {
      if (attempt.resendCount === 0) {
        const { caller } = attempt.request
        budgets.set(caller, creditSend(budgets.get(caller) ?? fullBudget(0), events.nowMs()))
        serviceBudget = creditSend(serviceBudget, events.nowMs())
      }
      route(attempt, reply, [])
    },
    receiveReport: (server, report) => {
      reports.set(server, report)
      ownSends[server]!.dropUntil(report.takenAtMs - SimulationConstants.hopMs)
    }
  }
}
