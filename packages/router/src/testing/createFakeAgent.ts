import { EitherAsync, Left, Right } from 'purify-ts'
import { FaultKind, makeFault } from '@figmount/base'
import { createInbox } from '@figmount/peers'

import type { DataCentre, Incarnation, InstanceName, LogOffset, TimerService } from '@figmount/base'
import type { AgentReport, FromAgent, Link, ModelReport, ToAgent } from '@figmount/peers'
import type { DialAgent } from '../links/types.js'

/** Reaction of a fake agent to a message; `send` replies on the same link. */
export type AgentBehaviour = (message: ToAgent, send: (message: FromAgent) => void) => void

/** An in-memory agent. */
export interface FakeAgent {
  readonly dial: DialAgent
  readonly received: () => readonly ToAgent[]
  readonly receivedOf: <T extends ToAgent['type']>(type: T) => readonly Extract<ToAgent, { type: T }>[]
  /** Closes every open link. */
  readonly cut: () => void
  /** Makes dials fail while the agent is down. */
  readonly setDown: (isDown: boolean) => void
  readonly setModels: (models: readonly ModelReport[]) => void
  readonly setQueuedSeconds: (seconds: number) => void
  readonly send: (message: FromAgent) => void
}

export const createFakeAgent = (instance: string, timers: TimerService, behave: AgentBehaviour): FakeAgent => {
  const received: ToAgent[] = []
  const links = new Set<{ readonly deliver: (message: FromAgent) => void, readonly end: () => void }>()
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

  const answer = (message: ToAgent, send: (message: FromAgent) => void): void => {
    received.push(message)
    if (message.type === 'hello') {
      return send({ type: 'welcome', instance: instance as InstanceName, incarnation: '1' as Incarnation, dataCentre: 'dc' as DataCentre, report: report() })
    }
    if (message.type === 'heartbeat') return send({ type: 'heartbeat.ack', sentAtMs: message.sentAtMs, report: report() })
    behave(message, send)
  }

  const openLink = (onOffset: (offset: LogOffset) => void): Link<ToAgent, FromAgent> => {
    const inbox = createInbox<FromAgent>()
    let isOpen = true
    const send = (message: FromAgent): void => { if (isOpen) inbox.push(message) }
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
      lastHeardMs: timers.nowMs
    }
  }

  return {
    dial: (_instance, onOffset) => isDown
      ? EitherAsync.liftEither(Left(makeFault(FaultKind.Unavailable, 'links.open', instance, 'refused')))
      : EitherAsync.liftEither(Right(openLink(onOffset))),
    received: () => received,
    receivedOf: type => received.filter((message): message is Extract<ToAgent, { type: typeof type }> => message.type === type),
    cut: () => { for (const link of [...links]) link.end() },
    setDown: value => { isDown = value },
    setModels: value => { models = value },
    setQueuedSeconds: value => { queuedSeconds = value },
    send: message => { for (const link of links) link.deliver(message) }
  }
}
