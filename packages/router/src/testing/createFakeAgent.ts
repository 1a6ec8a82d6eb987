import { EitherAsync, Left, Right } from 'purify-ts'
import { FaultKind, makeFault } from '@figmount/base'
import { createMessageQueue } from '@figmount/peers'

import type { DataCentre, Incarnation, InstanceName, LogOffset, TimerService } from '@figmount/base'
import type { AgentReport, AgentToRouterMessage, Link, ModelReport, RouterToAgentMessage } from '@figmount/peers'
import type { DialAgent } from '../links/types.js'

/** Reaction of a fake agent to a message; `send` replies on the same link. */
export type AgentBehaviour = (message: RouterToAgentMessage, send: (message: AgentToRouterMessage) => void) => void

/** An in-memory agent. */
export interface FakeAgent {
  readonly dial: DialAgent
  readonly received: () => readonly RouterToAgentMessage[]
  readonly receivedOf: <T extends RouterToAgentMessage['type']>(type: T) => readonly Extract<RouterToAgentMessage, { type: T }>[]
  /** Closes every open link. */
  readonly cut: () => void
  /** Makes dials fail while the agent is down. */
  readonly setDown: (isDown: boolean) => void
  readonly setModels: (models: readonly ModelReport[]) => void
  readonly setQueuedSeconds: (seconds: number) => void
  readonly send: (message: AgentToRouterMessage) => void
}

export const createFakeAgent = (instance: string, timers: TimerService, behave: AgentBehaviour): FakeAgent => {
  const received: RouterToAgentMessage[] = []
  const links = new Set<{ readonly deliver: (message: AgentToRouterMessage) => void, readonly end: () => void }>()
  let isDown = false
  let sequence = 0
  let models: readonly ModelReport[] = []
  let queuedSeconds = 0

  const report = (): AgentReport => ({
    sequence: sequence++,
    draining: false,
    runningCount: 0,
    queuedCount: 0,
    batchSize: 4,
    queuedSeconds,
    tokenIntervalMs: 10,
    memoryCapacityMb: 100,
    memoryUsedMb: 0,
    models
  })

  const answer = (message: RouterToAgentMessage, send: (message: AgentToRouterMessage) => void): void => {
    received.push(message)
    if (message.type === 'hello') {
      return send({ type: 'welcome', instance: instance as InstanceName, incarnation: '1' as Incarnation, dataCentre: 'dc' as DataCentre, report: report() })
    }
    if (message.type === 'heartbeat') return send({ type: 'heartbeat.ack', sentAtMs: message.sentAtMs, report: report() })
    behave(message, send)
  }

  const openLink = (onOffset: (offset: LogOffset) => void): Link<RouterToAgentMessage, AgentToRouterMessage> => {
    const inbox = createMessageQueue<AgentToRouterMessage>()
    let isOpen = true
    const send = (message: AgentToRouterMessage): void => { if (isOpen) inbox.push(message) }
    const end = (): void => {
      isOpen = false
      links.delete(entry)
      inbox.end()
    }
    const entry = { deliver: send, end }
    links.add(entry)
    onOffset(0 as LogOffset)
    return {
      peer: instance,
      send: message => { if (isOpen) answer(message, send) },
      sendPacked: ({ body }) => { if (isOpen) answer(body, send) },
      received: inbox.values,
      close: end,
      isOpen: () => isOpen,
      bufferedBytes: () => 0,
      lastReceivedMs: timers.nowMs
    }
  }

  return {
    dial: (_instance, onOffset) => isDown
      ? EitherAsync.liftEither(Left(makeFault(FaultKind.Unavailable, 'links.open', instance, 'refused')))
      : EitherAsync.liftEither(Right(openLink(onOffset))),
    received: () => received,
    receivedOf: type => received.filter((message): message is Extract<RouterToAgentMessage, { type: typeof type }> => message.type === type),
    cut: () => { for (const link of [...links]) link.end() },
    setDown: value => { isDown = value },
    setModels: value => { models = value },
    setQueuedSeconds: value => { queuedSeconds = value },
    send: message => { for (const link of links) link.deliver(message) }
  }
}
