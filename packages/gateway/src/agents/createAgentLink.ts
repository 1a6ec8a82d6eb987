import { runInBackground, runSafely, sleep } from '@figmount/base'
import { HEARTBEAT_MS, openLink, packMessage, serveMessages } from '@figmount/peers'

import { GatewayEvent } from '../events.js'
import { STALE_DELIVERY_MS, MIN_RECONNECT_DELAY_MS, DELAYED_AFTER_MS, MAX_RECONNECT_DELAY_MS } from './constants.js'
import { isWholeState } from './isWholeState.js'

import type { AgentMessage, AgentState, RouterMessage } from '@figmount/fleet'
import type { Link, LinkContext, PackedMessage } from '@figmount/peers'
import type { AgentHandlers, AgentLink, OpenWant, WantOutcome, WantRequest } from './types.js'

type OpenLink = Link<RouterMessage, AgentMessage>

interface Options {
  /** Address of the engine that the agent controls. */
  readonly serverAddress: string
  readonly agentAddress: string
  readonly context: LinkContext
  readonly handlers: AgentHandlers
}

/** Creates a link to one agent, which reconnects until it is closed. */
export const createAgentLink = ({ serverAddress, agentAddress, context, handlers }: Options): AgentLink => {
  const { timers, events } = context
  const closing = new AbortController()
  const wants = new Map<number, (outcome: WantOutcome) => void>()
  let link: OpenLink | undefined
  let state: AgentState | undefined
  let isNew = false
  let nextWantId = 1
  let lastSentMs = -Infinity
  let lastReceivedMs = -Infinity
  let mayBeStaleUntilMs = -Infinity

  const sendPacked = (message: PackedMessage<RouterMessage>): void => {
    if (!link) return
    lastSentMs = timers.nowMs()
    link.sendPacked(message)
  }

  const send = (message: RouterMessage): void => {
    if (link) sendPacked(packMessage(context, message))
  }

  const settle = (wantId: number, outcome: WantOutcome): void => {
    wants.get(wantId)?.(outcome)
    wants.delete(wantId)
  }

  const settleAll = (reason: string): void => {
    for (const wantId of [...wants.keys()]) settle(wantId, { isReady: false, isLost: true, reason })
  }

  const openWant = ({ adapterName, ...rest }: WantRequest): OpenWant => {
    const wantId = nextWantId++
    // The agent settles each want within `timeLeftMs`. This timer covers an agent that stops answering. `timeLeftMs` is the caller's
    // patience less the time to answer it: a longer timer would end after the caller has left.
    const stopTimer = timers.after(rest.timeLeftMs, () => settle(wantId, { isReady: false, isLost: false, reason: 'not in time' }))
    const outcome = new Promise<WantOutcome>(resolve => {
      wants.set(wantId, end => {
        stopTimer()
        resolve(end)
      })
    })
    send({ type: 'want', wantId, ...rest, ...(adapterName === '' ? {} : { adapterName }) })
    const drop = (reason: string): void => {
      if (!wants.has(wantId)) return
      settle(wantId, { isReady: false, isLost: false, reason })
      send({ type: 'wantDropped', wantId })
    }
    return { outcome, drop }
  }

  const takeState = (next: AgentState): void => {
    if (!isWholeState(next)) throw new Error('malformed state')
    state = next
    handlers.takeState(serverAddress, next)
  }

  const noteReceived = (): void => {
    const nowMs = timers.nowMs()
    if (nowMs - lastReceivedMs > DELAYED_AFTER_MS) mayBeStaleUntilMs = nowMs + STALE_DELIVERY_MS
    lastReceivedMs = nowMs
  }

  const take = (message: AgentMessage): void => {
    noteReceived()
    if (message.type === 'state') return takeState(message)
    if (message.type === 'stateChange') {
      if (state) takeState({ ...state, ...message.changes })
      return
    }
    if (message.type === 'load') return handlers.takeLoad(serverAddress, message)
    if (message.type === 'wantSettled') return settle(message.wantId, message)
    if (message.type === 'deploymentAsked') return handlers.takeDeploymentAsked(serverAddress, message)
    if (message.type === 'deploymentPiece') return handlers.takeDeploymentPiece(serverAddress, message)
    if (message.type === 'listRead') return handlers.takeListRead(message, timers.nowMs() < mayBeStaleUntilMs)
    if (message.type === 'unitsAnswered') return handlers.takeUnits(serverAddress, message)
    if (message.type === 'originAnswered') return handlers.takeOrigin(serverAddress, message)
    if (message.type === 'crash' || message.type === 'serverLimit' || message.type === 'serverLeaving') handlers.takeNotice(message)
  }

  const serve = async (open: OpenLink): Promise<void> => {
    link = open
    isNew = true
    events.emit(GatewayEvent.agentFound, { peer: agentAddress })
    runSafely(events, 'agents.found', agentAddress, () => handlers.found(serverAddress))
    await serveMessages(open, events, take)
    link = undefined
    state = undefined
    settleAll('the agent does not answer')
    runSafely(events, 'agents.lost', agentAddress, () => handlers.lost(serverAddress))
    events.emit(GatewayEvent.agentLost, { peer: agentAddress })
  }

  const keepOpen = async (): Promise<void> => {
    let reconnectDelayMs = MIN_RECONNECT_DELAY_MS
    while (!closing.signal.aborted) {
      const opened = await openLink<RouterMessage, AgentMessage>(agentAddress, context).run()
      const open = opened.toMaybe().extractNullable()
      if (open && closing.signal.aborted) return open.close('no longer needed')
      if (open) {
        reconnectDelayMs = MIN_RECONNECT_DELAY_MS
        await serve(open)
      }
      await sleep(timers, reconnectDelayMs, closing.signal)
      reconnectDelayMs = Math.min(MAX_RECONNECT_DELAY_MS, reconnectDelayMs * 2)
    }
  }

  // Demand is sent twice a second while there is any: with heartbeats besides, a third of all messages to agents would be heartbeats.
  const stopHeartbeat = timers.every(HEARTBEAT_MS / 2, () => {
    if (timers.nowMs() - lastSentMs >= HEARTBEAT_MS) send({ type: 'heartbeat' })
  })
  runInBackground(events, 'agents.keepOpen', keepOpen())

  return {
    want: request => link
      ? openWant(request)
      : { outcome: Promise.resolve({ isReady: false, isLost: true, reason: 'the agent does not answer' }), drop: () => {} },
    send: message => {
      send(message)
      return link !== undefined
    },
    sendPacked,
    isOpen: () => link !== undefined,
    takeIsNew: () => {
      const wasNew = isNew
      isNew = false
      return wasNew
    },
    hasState: () => state !== undefined,
    close: () => {
      closing.abort()
      stopHeartbeat()
      link?.close('no longer needed')
      settleAll('no longer needed')
    }
  }
}
