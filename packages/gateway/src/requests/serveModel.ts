import { startKeyOf } from '@figmount/fleet'

import { GatewayEvent } from '../events.js'
import { awaitAdapter } from './awaitAdapter.js'
import { awaitModel } from './awaitModel.js'
import { chooseServer } from './chooseServer.js'
import { CROWDED_RETRY_MS, FULL_RETRY_MS, LEAST_SERVE_MS, MAX_CRASHES, MAX_LOST_LOADS, MAX_TURNED_AWAY, NO_SERVER_RETRY_MS, STOPPING, STOPPING_RETRY_MS } from './constants.js'
import { fail, noteLeft, refuse } from './endRequest.js'
import { isTooCrowded } from './isTooCrowded.js'
import { runAt } from './runAt.js'
import { createCallerStream } from './streamToCaller.js'
import { watchCrash } from './watchCrash.js'

import type { WaitBounds } from './awaitWant.js'
import type { GatewayContext, RoutedRequest } from './types.js'

/**
 * Serves a request to a model: at an engine that holds it, or after having it loaded. A stream that breaks off goes on
 * at another engine where its route allows that; otherwise it is run once.
 */
export const serveModel = async (context: GatewayContext, request: RoutedRequest): Promise<void> => {
  const { directory, timers, budget, stop } = context
  const { caller, route, serviceName } = request
  const stream = createCallerStream(context, request)
  // By start: a server that has restarted under its id is as good as another one.
  const avoided = new Set<string>()
  let runs = 0
  let sends = 0
  let turnedAway = 0
  let lostLoads = 0
  let lastPeer = ''

  const bounds: WaitBounds = {
    lastSendMs: () => runs > 0 ? stop.lastRepeatMs() : stop.lastSendMs(route.objectiveMs),
    callerLeavesMs: () => Math.min(request.untilMs, stream.lastEventMs() + route.patienceMs)
  }

  const giveUp = (reason: string, retryAfterMs: number): void => {
    if (request.left.aborted) return noteLeft(context, request)
    if (runs > 0) return fail(context, request, reason, lastPeer)
    refuse(context, request, reason, retryAfterMs)
  }

  context.demand.note(caller.modelName, caller.adapterName, caller.promptTokens)
  if (context.crashes.crashCount(request.requestHash) >= MAX_CRASHES) {
    return giveUp('backend servers died while they ran it', NO_SERVER_RETRY_MS * 10)
  }

  for (;;) {
    if (request.left.aborted || request.untilMs - timers.nowMs() < LEAST_SERVE_MS) return giveUp('no time left', FULL_RETRY_MS)
    if (timers.nowMs() >= bounds.lastSendMs()) return giveUp(STOPPING, STOPPING_RETRY_MS)
    const servers = directory.serving(serviceName).filter(server => !avoided.has(startKeyOf(server.start)))
    if (servers.length === 0) return giveUp('no server', NO_SERVER_RETRY_MS)
    const choice = chooseServer(context, request, servers)
    if (!choice) {
      const wait = await awaitModel(context, request, servers, bounds)
      // An engine that dies in the middle of a load has lost its waiting callers nothing but time: another one is asked.
      if (wait.type === 'changed') continue
      lostLoads += Number(wait.type === 'lost')
      if (wait.type === 'lost' && lostLoads <= MAX_LOST_LOADS) continue
      return giveUp(wait.reason, wait.retryAfterMs)
    }
    context.unmet.settle(caller.modelName)
    const { start, entry: { serverId } } = choice.server
    if (sends === 0 && isTooCrowded(context, request, choice.placeWaitMs, bounds.callerLeavesMs() - timers.nowMs())) {
      context.events.emit(GatewayEvent.requestCrowded, { requestKey: caller.requestId, model: caller.modelName, peer: serverId, waitMs: Math.round(choice.placeWaitMs) })
      return giveUp('the engines with the model are full', CROWDED_RETRY_MS * (1 + context.random()))
    }
    const wait = choice.adapterWaitMs === 0 ? undefined : await awaitAdapter(context, request, choice.server, choice.adapterWaitMs, bounds)
    if (wait?.type === 'late') return giveUp(wait.reason, wait.retryAfterMs)
    if (wait?.type === 'missed') {
      turnedAway += 1
      avoided.add(startKeyOf(start))
      if (turnedAway >= MAX_TURNED_AWAY) return giveUp('the adapter did not come', FULL_RETRY_MS)
      continue
    }
    if (request.left.aborted) return noteLeft(context, request)
    if (sends > 0 && !budget.takeRepeat(serviceName, context.routerCount())) return giveUp('no repeats left', FULL_RETRY_MS)
    if (runs > 0 && request.organisation) context.quotas.charge(request.organisation, request.units)
    if (sends > 0) context.events.emit(GatewayEvent.requestRepeated, { requestKey: caller.requestId, peer: serverId, count: sends })
    sends += 1
    lastPeer = serverId
    const end = await runAt(context, request, choice, stream)
    if (end.type === 'answered') return
    if (end.type === 'finished') return stream.finish(serverId)
    // A run that was cut says nothing about the server by itself.
    const wasCut = request.left.aborted || timers.nowMs() >= request.untilMs || stop.isEnded()
    if (end.type === 'broken') watchCrash(context, request, choice.server, wasCut)
    if (request.left.aborted) return noteLeft(context, request)
    avoided.add(startKeyOf(start))
    if (end.type === 'notRun') {
      turnedAway += 1
      if (turnedAway >= MAX_TURNED_AWAY) return giveUp(end.reason, FULL_RETRY_MS)
      continue
    }
    runs += 1
    const mayGoOn = route.isResumable && runs < route.maxAttempts && !stream.hasGap()
    if (!mayGoOn) return fail(context, request, end.reason, serverId)
    context.events.emit(GatewayEvent.streamResumed, { requestKey: caller.requestId, reason: end.reason, peer: serverId, detail: stream.lastEventId() })
  }
}
