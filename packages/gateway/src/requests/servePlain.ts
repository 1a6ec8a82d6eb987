import { RequestKind, startKeyOf } from '@figmount/fleet'
import { countsAsFailure, mayHaveDied, rankServers } from '@figmount/decisions'

import { checkCrashes } from '../crashes/checkCrashes.js'
import { noteAnswer } from '../crashes/noteAnswer.js'
import { MIN_SILENCE_MS } from '../crashes/constants.js'
import { noteBroken } from '../crashes/noteBroken.js'
import { awaitProof } from '../ends/awaitProof.js'
import { readAnswer } from '../forwarding/readAnswer.js'
import { holdForCaller } from '../memory/holdForCaller.js'
import { awaitRetry } from '../retries/awaitRetry.js'
import { LIMITED_REASON } from '../serverLimits/constants.js'
import { holdBack } from '../serverLimits/holdBack.js'
import { ANSWER_GRACE_MS, REJECTED_RETRY_MS, MIN_SERVE_MS, MAX_REJECTIONS, NO_SERVER_RETRY_MS, STOPPING_REASON, STOPPING_RETRY_MS } from './constants.js'
import { createSendBounds } from './createSendBounds.js'
import { completeAnswer, sendAnswer, fail, noteCallerLeft, refuse } from './endRequest.js'
import { openExchange } from './openExchange.js'
import { limitExchange } from './limitExchange.js'

import type { Either } from 'purify-ts'
import type { Fault } from '@figmount/base'
import type { KnownServer } from '../directory/types.js'
import type { ReadAnswer } from '../forwarding/readAnswer.js'
import type { OpenAnswer } from '../forwarding/types.js'
import type { TakenRetry } from '../retries/createRetryBudget.js'
import type { GatewayContext, RoutedRequest } from './types.js'

/** How one attempt on one server ended. */
type AttemptEnd =
  | { readonly type: 'answered' }
  | { readonly type: 'notRun', readonly reason: string, readonly isMisdirected: boolean }
  | { readonly type: 'notSent', readonly reason: string }
  /** Without a complete answer: the server may have died. */
  | { readonly type: 'broken', readonly reason: string }
  /** Something else than its answer came: the server has not closed the connection. */
  | { readonly type: 'unknown', readonly reason: string }
  /** A complete answer with a server error. */
  | { readonly type: 'failed', readonly status: number, readonly deliver: () => void }

const FIRST_SERVER_ERROR = 500
const MISDIRECTED = 421

const choose = (context: GatewayContext, servers: readonly KnownServer[]): KnownServer | undefined => {
  const { directory } = context
  const offset = Math.floor(context.random() * servers.length)
  // Equal servers are ordered at random, so that routers do not all start with the same one.
  const shuffled = [...servers.slice(offset), ...servers.slice(0, offset)]
  const views = shuffled.map(server => ({
    serverId: server.entry.serverId,
    dataCentre: server.entry.dataCentre,
    adapterWaitMs: 0,
    pendingTokens: 0,
    runningCount: 0,
    startingCount: server.ownCount,
    cachedTokens: 0,
    failureShare: directory.failureShareOf(server)
  }))
  const [best] = rankServers({ promptTokens: 0, dataCentre: context.dataCentre }, views)
  return servers.find(server => server.entry.serverId === best?.serverId)
}

/** One attempt of a request on one server. */
interface Attempt {
  readonly server: KnownServer
  readonly retry: TakenRetry | undefined
  /** The request may run elsewhere if this attempt breaks off. */
  readonly mayRunElsewhere: boolean
}

/** Passes on an answer, unless it is a server error, which a repeat may make up for. */
const passOn = async (
  context: GatewayContext, request: RoutedRequest, { server, mayRunElsewhere }: Attempt, open: OpenAnswer, read: Either<Fault, ReadAnswer>, signal: AbortSignal
): Promise<AttemptEnd> => {
  const status = open.message.statusCode ?? 0
  if (open.answer.isNotRun || status === MISDIRECTED) {
    if (status === MISDIRECTED) context.directory.noteReplaced(server.start)
    return { type: 'notRun', reason: `turned away with ${status}`, isMisdirected: status === MISDIRECTED }
  }
  if (read.isLeft()) return { type: 'broken', reason: read.swap().unsafeCoerce().message }
  const { body, end, hold } = read.unsafeCoerce()
  const proof = await awaitProof(context, request, { server, end, mayRunElsewhere, signal })
  if (!proof) return { type: 'broken', reason: 'the connection was closed, and nothing shows that its server lives' }
  const deliver = (): void => { sendAnswer(context, request, completeAnswer(context, open, { body, hold }, proof, server.entry.serverId)) }
  noteAnswer(context, request)
  if (status >= FIRST_SERVER_ERROR) return { type: 'failed', status, deliver }
  deliver()
  return { type: 'answered' }
}

const tryOnce = async (context: GatewayContext, request: RoutedRequest, attempt: Attempt, signal: AbortSignal): Promise<AttemptEnd> => {
  const { server, retry } = attempt
  const { serverId } = server.entry
  const opened = await openExchange(context, request, server, '', retry, signal)
  if (opened.isLeft()) {
    const { fault, mayHaveRun, isMismatched } = opened.swap().unsafeCoerce()
    if (isMismatched) return { type: 'unknown', reason: fault.message }
    return { type: mayHaveRun ? 'broken' : 'notSent', reason: fault.message }
  }
  const open = opened.unsafeCoerce()
  context.pendingRuns.noteAlive(server.start)
  const read = await readAnswer(open, { serverId, signal, reserve: (bytes, granted) => holdForCaller(context, request, bytes, granted) })
  const end = await passOn(context, request, attempt, open, read, signal)
  // The answer of a failure may be delivered later.
  if (end.type !== 'answered' && end.type !== 'failed') read.ifRight(({ hold }) => hold?.release())
  return end
}

interface EndedAttempt {
  readonly end: AttemptEnd
  readonly waitedMs: number
  /** The server had died, or may have, before the request was sent. */
  readonly wasBroken: boolean
}

/** Runs one attempt and updates the router's counts and failure rate for the server. */
const runAttempt = async (context: GatewayContext, request: RoutedRequest, attempt: Attempt): Promise<EndedAttempt> => {
  const { start } = attempt.server
  const { breakWatch, directory, pendingRuns, timers } = context
  const sentMs = timers.nowMs()
  const run = pendingRuns.add(start)
  const wasBroken = breakWatch.isBroken(start) || run.silentForMs > Math.max(MIN_SILENCE_MS, request.route.objectiveMs)
  directory.own.noteSent(start, 0)
  const limit = limitExchange(context, request, ANSWER_GRACE_MS)
  const end = await tryOnce(context, request, attempt, limit.signal)
  limit.release()
  run.end()
  directory.own.noteFirstEvent(start, 0)
  directory.own.noteEnded(start)
  const waitedMs = timers.nowMs() - sentMs
  directory.noteOutcome(start, countsAsFailure({
    // Guards against retries that are used up on a server which turns requests away at once, and so always seems idle.
    hasFailed: end.type === 'notRun' ? !end.isMisdirected : end.type !== 'answered',
    hasLeft: request.callerLeft.aborted,
    isSilent: end.type !== 'answered',
    waitedMs
  }))
  return { end, waitedMs, wasBroken }
}

/** Begins to find out whether the server has died. Resolves when it is known, or a short while later. */
const watchBroken = async (
  context: GatewayContext, request: RoutedRequest, server: KnownServer, reason: string, { waitedMs, wasBroken }: EndedAttempt
): Promise<void> => {
  const { timers, stop, breakWatch } = context
  noteBroken(context, request, server.entry.serverId, reason, waitedMs)
  const isSuspect = mayHaveDied({ hasLeft: request.callerLeft.aborted, waitedMs, leftMs: request.untilMs - timers.nowMs() })
  if (isSuspect && !wasBroken && !stop.isEnded()) await breakWatch.watch(request, server)
}

/**
 * Serves a request to a plain service. An at-most-once request goes to another server only if the previous one reports that it has not
 * run it. An idempotent one is also retried after a failure, within the route's attempts and the retry budget that all routers share,
 * unless servers have died of it.
 */
export const servePlain = async (context: GatewayContext, request: RoutedRequest): Promise<void> => {
  const { timers, stop } = context
  const mayRunAgain = request.route.kind === RequestKind.Idempotent
  const tried = new Set<string>()
  const turn = context.serverLimits.openTurn(request.priority)
  // Taken, but not sent yet.
  let retry: TakenRetry | undefined
  let sendCount = 0
  let runCount = 0
  let rejectionCount = 0
  let deliverFailed: (() => void) | undefined
  let lastPeer = ''

  const { lastSendMs, stopsFirst, leftToSendMs } = createSendBounds(context, request, { hasRun: () => runCount > 0, callerLeavesMs: () => request.untilMs })

  /** Retry-after of a request that servers have turned away: when the first of them takes requests again. */
  const earliestRetryMs = (): number => {
    const waitsMs = context.directory.serving(request.serviceName).map(({ start }) => turn.waitMs(start))
    return Math.max(REJECTED_RETRY_MS, waitsMs.length > 0 ? Math.min(...waitsMs) : 0)
  }

  const finish = (reason: string, retryAfterMs = sendCount > 0 ? earliestRetryMs() : NO_SERVER_RETRY_MS): void => {
    turn.end()
    retry?.noteArrival('none')
    if (request.callerLeft.aborted) return noteCallerLeft(context, request)
    if (deliverFailed) return deliverFailed()
    if (runCount > 0) return fail(context, request, reason, lastPeer)
    refuse(context, request, reason, retryAfterMs)
  }

  for (;;) {
    if (request.callerLeft.aborted || request.untilMs - timers.nowMs() < MIN_SERVE_MS) return finish('no time left')
    if (timers.nowMs() >= lastSendMs()) return finish(STOPPING_REASON, STOPPING_RETRY_MS)
    const check = await checkCrashes(context, request, request.untilMs - timers.nowMs())
    if (check.type === 'refused') return finish(check.reason, check.retryAfterMs)
    if (check.type === 'waited') continue
    const servers = context.directory.serving(request.serviceName).filter(({ start }) => !tried.has(startKeyOf(start)))
    if (servers.length === 0) return finish(sendCount > 0 ? 'no other server' : 'no server')
    const server = choose(context, servers.filter(({ start }) => turn.waitMs(start) === 0))
    if (!server) {
      const held = await holdBack(context, request, turn, servers, leftToSendMs(), () => {})
      if (held.type === 'hopeless' && stopsFirst()) return finish(STOPPING_REASON, STOPPING_RETRY_MS)
      if (held.type === 'hopeless') return finish(LIMITED_REASON, held.waitMs)
      continue
    }
    if (sendCount > 0 && !retry) {
      const granted = await awaitRetry(context, request, { start: server.start, sendCount, leftMs: () => Math.min(request.untilMs, lastSendMs()) - timers.nowMs() })
      retry = granted.retry
      if (!retry) return finish('no repeats left')
      if (granted.hasWaited) continue
    }
    if (runCount > 0 && request.organisation) context.quotas.charge(request.organisation, request.units)
    const { start, entry: { serverId } } = server
    sendCount += 1
    tried.add(startKeyOf(start))
    turn.take(start)
    lastPeer = serverId
    const attempt = await runAttempt(context, request, { server, retry, mayRunElsewhere: mayRunAgain && runCount + 1 < request.route.maxAttempts })
    retry = undefined
    const { end } = attempt
    const verdict = end.type === 'broken' ? watchBroken(context, request, server, end.reason, attempt) : undefined
    if (request.callerLeft.aborted) return noteCallerLeft(context, request, end.type === 'notSent' ? undefined : attempt.waitedMs)
    if (end.type === 'answered') return stop.answers.note(request, attempt.waitedMs)
    if (end.type === 'notRun' || end.type === 'notSent') {
      rejectionCount += 1
      if (rejectionCount >= MAX_REJECTIONS) return finish(end.reason)
      // A server that wants rest may be asked again after it.
      if (context.serverLimits.isResting(start)) tried.delete(startKeyOf(start))
      continue
    }
    runCount += 1
    deliverFailed = end.type === 'failed' ? end.deliver : undefined
    const reason = end.type === 'failed' ? `status ${end.status}` : end.reason
    if (!mayRunAgain || runCount >= request.route.maxAttempts) return finish(reason)
    await verdict
  }
}
