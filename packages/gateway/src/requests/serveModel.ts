import { startKeyOf } from '@figmount/fleet'

import { checkCrashes } from '../crashes/checkCrashes.js'
import { noteAnswer } from '../crashes/noteAnswer.js'
import { noteBroken } from '../crashes/noteBroken.js'
import { watchCrash } from '../crashes/watchCrash.js'
import { GatewayEvent } from '../events.js'
import { createVersionLock } from '../origins/createVersionLock.js'
import { heldModel } from '../placing/viewServers.js'
import { awaitRetry } from '../retries/awaitRetry.js'
import { LIMITED_REASON } from '../serverLimits/constants.js'
import { holdBack } from '../serverLimits/holdBack.js'
import { awaitAdapter } from './awaitAdapter.js'
import { awaitModel } from './awaitModel.js'
import { chooseServer } from './chooseServer.js'
import { OVERLOAD_RETRY_MS, REJECTED_RETRY_MS, MIN_SERVE_MS, MAX_LOST_LOADS, MAX_REJECTIONS, NO_SERVER_RETRY_MS, STOPPING_REASON, STOPPING_RETRY_MS, UNKNOWN_ORIGIN_RETRY_MS } from './constants.js'
import { fail, noteCallerLeft, refuse } from './endRequest.js'
import { shouldShed } from './shouldShed.js'
import { runOnServer } from './runOnServer.js'
import { createCallerStream } from './createCallerStream.js'
import { createSendBounds } from './createSendBounds.js'

import type { KnownServer } from '../directory/types.js'
import type { TakenRetry } from '../retries/createRetryBudget.js'
import type { WaitBounds } from './awaitWant.js'
import type { GatewayContext, RoutedRequest } from './types.js'

/**
 * Serves a request to a model on an engine that holds it, or after having it loaded. An interrupted stream is resumed on another
 * engine if its route allows that; otherwise a request is run once.
 */
export const serveModel = async (context: GatewayContext, request: RoutedRequest): Promise<void> => {
  const { directory, timers, stop } = context
  const { caller, route, serviceName } = request
  const stream = createCallerStream(context, request)
  // Keyed by start: a server that has restarted under the same id is a different server here.
  const excludedStarts = new Set<string>()
  const versionLock = createVersionLock(context, request)
  const turn = context.serverLimits.openTurn(request.priority)
  // Taken, but not sent yet.
  let retry: TakenRetry | undefined
  let runCount = 0
  let sendCount = 0
  let rejectionCount = 0
  let lostLoadCount = 0
  let lastPeer = ''

  const callerLeavesMs = (): number => Math.min(request.untilMs, stream.lastEventMs() + route.patienceMs)
  const { lastSendMs, stopsFirst, leftToSendMs } = createSendBounds(context, request, { hasRun: () => runCount > 0, callerLeavesMs })
  const bounds: WaitBounds = { lastSendMs, callerLeavesMs }

  const giveUp = (reason: string, retryAfterMs: number): void => {
    turn.end()
    retry?.noteArrival('none')
    if (request.callerLeft.aborted) return noteCallerLeft(context, request)
    if (runCount > 0) return fail(context, request, reason, lastPeer)
    refuse(context, request, reason, retryAfterMs)
  }

  const candidates = (): readonly KnownServer[] =>
    directory.serving(serviceName).filter(server => !excludedStarts.has(startKeyOf(server.start)) && versionLock.mayServe(server))

  context.demand.note(caller.modelName, caller.adapterName, caller.promptTokens)
  if (!await versionLock.resolve()) return giveUp('nobody knows which software version began the stream', UNKNOWN_ORIGIN_RETRY_MS)

  for (;;) {
    if (request.callerLeft.aborted || request.untilMs - timers.nowMs() < MIN_SERVE_MS) return giveUp('no time left', REJECTED_RETRY_MS)
    if (timers.nowMs() >= lastSendMs()) return giveUp(STOPPING_REASON, STOPPING_RETRY_MS)
    const check = await checkCrashes(context, request, callerLeavesMs() - timers.nowMs())
    if (check.type === 'refused') return giveUp(check.reason, check.retryAfterMs)
    if (check.type === 'waited') continue
    const servers = candidates()
    if (servers.length === 0) return giveUp('no server', NO_SERVER_RETRY_MS)
    const free = servers.filter(({ start }) => turn.waitMs(start) === 0)
    const choice = chooseServer(context, request, free)
    if (!choice) {
      const holders = servers.filter(server => heldModel(server, caller.modelName))
      const noteWait = (waitMs: number): void => { context.queueScaler.note(context, request, free, waitMs) }
      const held = await holdBack(context, request, turn, holders, leftToSendMs(), noteWait)
      if (held.type === 'waited') continue
      if (held.type === 'hopeless' && stopsFirst()) return giveUp(STOPPING_REASON, STOPPING_RETRY_MS)
      const wait = await awaitModel(context, request, candidates, bounds)
      // An engine that dies during a load has cost its waiting callers only time: another engine is asked.
      if (wait.type === 'changed') continue
      lostLoadCount += Number(wait.type === 'lost')
      if (wait.type === 'lost' && lostLoadCount <= MAX_LOST_LOADS) continue
      if (held.type === 'hopeless' && held.waitMs < wait.retryAfterMs) return giveUp(LIMITED_REASON, held.waitMs)
      return giveUp(wait.reason, wait.retryAfterMs)
    }
    context.unmetModels.settle(caller.modelName)
    const { start, entry: { serverId } } = choice.server
    if (sendCount === 0 && shouldShed(context, request, choice.slotWaitMs, callerLeavesMs() - timers.nowMs())) {
      context.events.emit(GatewayEvent.requestCrowded, { requestKey: caller.requestId, model: caller.modelName, peer: serverId, waitMs: Math.round(choice.slotWaitMs) })
      return giveUp('the engines with the model are full', OVERLOAD_RETRY_MS * (1 + context.random()))
    }
    turn.take(start)
    const wait = choice.adapterWaitMs === 0 ? undefined : await awaitAdapter(context, request, choice.server, choice.adapterWaitMs, bounds)
    if (wait?.type === 'late') return giveUp(wait.reason, wait.retryAfterMs)
    if (wait?.type === 'missed') {
      rejectionCount += 1
      excludedStarts.add(startKeyOf(start))
      if (rejectionCount >= MAX_REJECTIONS) return giveUp('the adapter did not come', REJECTED_RETRY_MS)
      continue
    }
    if (request.callerLeft.aborted) return giveUp('the caller left', REJECTED_RETRY_MS)
    // Guards against all callers of an adapter being sent to an engine that has asked for rest while they waited.
    if (wait && context.serverLimits.isResting(start)) continue
    if (sendCount > 0 && !retry) {
      const granted = await awaitRetry(context, request, { start, sendCount, leftMs: () => Math.min(callerLeavesMs(), lastSendMs()) - timers.nowMs() })
      retry = granted.retry
      if (!retry) return giveUp('no repeats left', REJECTED_RETRY_MS)
      if (granted.hasWaited) continue
    }
    if (runCount > 0 && request.organisation) context.quotas.charge(request.organisation, request.units)
    sendCount += 1
    lastPeer = serverId
    const run = await runOnServer(context, request, choice, { stream, versionLock, retry, mayRunElsewhere: route.isResumable && runCount + 1 < route.maxAttempts })
    const { end, sentMs } = run
    retry = undefined
    if (end.type === 'answered' || end.type === 'finished') noteAnswer(context, request)
    // A run that goes on behind an event takes less time than a whole answer.
    if (end.type === 'finished' && runCount === 0 && caller.lastEventId === '') stop.answers.note(request, timers.nowMs() - sentMs)
    if (end.type === 'answered') return
    if (end.type === 'finished') return stream.finish(serverId, end.answerEnd)
    // A run that the router aborted says nothing about the server.
    const wasAborted = request.callerLeft.aborted || timers.nowMs() >= request.untilMs || stop.isEnded()
    if (end.type === 'broken') noteBroken(context, request, serverId, end.reason, timers.nowMs() - sentMs)
    if (end.type === 'broken') watchCrash(context, request, choice.server, run, wasAborted)
    if (request.callerLeft.aborted) return noteCallerLeft(context, request, end.type === 'notRun' ? undefined : timers.nowMs() - sentMs)
    // A server that wants rest may be asked again after it.
    if (end.type !== 'notRun' || !context.serverLimits.isResting(start)) excludedStarts.add(startKeyOf(start))
    if (end.type === 'notRun') {
      rejectionCount += 1
      if (rejectionCount >= MAX_REJECTIONS) return giveUp(end.reason, REJECTED_RETRY_MS)
      continue
    }
    runCount += 1
    const mayResume = route.isResumable && runCount < route.maxAttempts && !stream.isTooLong()
    if (!mayResume) return fail(context, request, end.reason, serverId)
    if (!stream.mayGoOn()) return fail(context, request, `${end.reason}, after a piece without a number`, serverId)
    context.events.emit(GatewayEvent.streamResumed, { requestKey: caller.requestId, reason: end.reason, peer: serverId, lastEventId: stream.lastEventId(), runStarts: stream.runStarts() })
  }
}
