import { countsAsFailure } from '@figmount/decisions'

import { DEATH_CHECK_PERIOD_MS, PROOF_MS } from '../crashes/constants.js'
import { createRunPulse } from './createRunPulse.js'
import { limitExchange } from './limitExchange.js'
import { runStream } from './runStream.js'

import type { VersionLock } from '../origins/createVersionLock.js'
import type { TakenRetry } from '../retries/createRetryBudget.js'
import type { ServerChoice } from './chooseServer.js'
import type { RunEnd } from './runStream.js'
import type { CallerStream } from './createCallerStream.js'
import type { GatewayContext, RoutedRequest } from './types.js'

/** A run on a server that has ended. */
export interface EndedRun {
  readonly end: RunEnd
  readonly sentMs: number
  /** The server has written on the request for a while: it does not die of it. */
  readonly isProven: boolean
}

/** What a run of a stream depends on beside its server. */
interface RunOptions {
  readonly stream: CallerStream
  readonly versionLock: VersionLock
  readonly retry: TakenRetry | undefined
  /** The stream may go on elsewhere if this run breaks off. */
  readonly mayRunElsewhere: boolean
}

/** Runs the request on the chosen server and updates the router's counts, prefix index and failure rate for that server. */
export const runOnServer = async (
  context: GatewayContext, request: RoutedRequest, choice: ServerChoice, { stream, versionLock, retry, mayRunElsewhere }: RunOptions
): Promise<EndedRun> => {
  const { directory } = context
  const { start } = choice.server
  const { modelName, adapterName, promptParts } = request.caller
  const limit = limitExchange(context, request, 0)
  // Guards against an engine that dies without closing its connections: a stream that could be resumed elsewhere would send nothing
  // until its caller leaves, although the engine's agent has reported the death. Events that still come refute the report. An engine that
  // leaves may refuse connections, which its agent takes for its death, and finish what it runs; its end closes their connections.
  const pulse = createRunPulse(context.timers)
  const stopDeathChecks = request.route.isResumable
    ? context.timers.every(DEATH_CHECK_PERIOD_MS, () => { if (pulse.isSilent() && directory.isDead(start) && !directory.isLeaving(start)) limit.cut() })
    : () => {}
  let isPending = true
  let startedMs = 0
  let isProven = false
  const noteEvent = (): void => {
    pulse.noteEvent()
    if (isPending) versionLock.begin(choice.server)
    settlePending()
    if (context.timers.nowMs() - startedMs >= PROOF_MS) proveParts()
  }
  const proveParts = (): void => {
    if (isProven) return
    isProven = true
    context.partGuard.noteProof(request.caller, sentMs)
  }
  const settlePending = (): void => {
    if (!isPending) return
    isPending = false
    startedMs = context.timers.nowMs()
    directory.own.noteFirstEvent(start, choice.newTokens)
  }
  directory.own.noteSent(start, choice.newTokens)
  directory.own.noteRun(start, modelName)
  directory.prefixes.remember(start.serverId, `${modelName}/${adapterName}`, promptParts)
  const sentMs = context.timers.nowMs()
  const end = await runStream(context, request, { server: choice.server, stream, retry, mayRunElsewhere, signal: limit.signal, noteEvent })
  const isSilent = isPending
  settlePending()
  directory.own.noteEnded(start)
  directory.own.noteRunEnd(start, modelName)
  if (end.type === 'finished') context.occupancy.note(context.timers.nowMs() - startedMs)
  if (end.type === 'finished') proveParts()
  limit.release()
  stopDeathChecks()
  directory.noteOutcome(start, countsAsFailure({
    hasFailed: end.type === 'broken' || (end.type === 'notRun' && !end.isMisdirected),
    hasLeft: request.callerLeft.aborted,
    isSilent,
    waitedMs: context.timers.nowMs() - sentMs
  }))
  return { end, sentMs, isProven }
}
