import { EitherAsync, Left, Right } from 'purify-ts'
import { FaultKind, makeFault } from '@figmount/base'
import { createInbox } from '@figmount/peers'

import type { DataCentre, Incarnation, InstanceName, LogOffset, TimerService } from '@figmount/base'
import type { AgentReport, FromAgent, Link, ModelReport, ToAgent } from '@figmount/peers'
import type { DialAgent } from '../links/types.js'

/** What an agent does with a message; `say` answers on the link that it came on. */
export type Behave = (message: ToAgent, say: (message: FromAgent) => void) => void

/** An agent in memory. */
export interface FakeAgent {
  readonly dial: DialAgent
  readonly heard: () => readonly ToAgent[]
  readonly heardOf: <T extends ToAgent['type']>(type: T) => readonly Extract<ToAgent, { type: T }>[]
  /** Breaks every open link. */
  readonly cut: () => void
  /** Dials fail while the agent is down. */
  readonly setDown: (isDown: boolean) => void
  readonly setModels: (models: readonly ModelReport[]) => void
  readonly setQueuedSeconds: (seconds: number) => void
  readonly say: (message: FromAgent) => void
}

export const createFakeAgent = (instance: string, timers: TimerService, behave: Behave): FakeAgent => {
  const heard: ToAgent[] = []
  const links = new Set<{ readonly say: (message: FromAgent) => void, readonly end: () => void }>()
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

  const answer = (message: ToAgent, say: (message: FromAgent) => void): void => {
    heard.push(message)
    if (message.type === 'hello') {
      return say({ type: 'welcome', instance: instance as InstanceName, incarnation: '1' as Incarnation, dataCentre: 'dc' as DataCentre, report: report() })
    }
    if (message.type === 'heartbeat') return say({ type: 'heartbeat.ack', sentAtMs: message.sentAtMs, report: report() })
    behave(message, say)
  }

  const openLink = (onOffset: (offset: LogOffset) => void): Link<ToAgent, FromAgent> => {
    const inbox = createInbox<FromAgent>()
    let open = true
    const say = (message: FromAgent): void => { if (open) inbox.push(message) }
    const end = (): void => {
      open = false
      links.delete(entry)
      inbox.end()
    }
    const entry = { say, end }
    links.add(entry)
    onOffset(0 as LogOffset)
    return {
      peer: instance,
      send: message => { if (open) answer(message, say) },
      sendPacked: ({ body }) => { if (open) answer(body, say) },
      received: inbox.values,
      close: end,
      isOpen: () => open,
      bufferedBytes: () => 0,
      lastHeardMs: timers.nowMs
    }
  }

  return {
    dial: (_instance, onOffset) => isDown
      ? EitherAsync.liftEither(Left(makeFault(FaultKind.Unavailable, 'links.open', instance, 'refused')))
      : EitherAsync.liftEither(Right(openLink(onOffset))),
    heard: () => heard,
    heardOf: type => heard.filter((message): message is Extract<ToAgent, { type: typeof type }> => message.type === type),
    cut: () => { for (const link of [...links]) link.end() },
    setDown: value => { isDown = value },
    setModels: value => { models = value },
    setQueuedSeconds: value => { queuedSeconds = value },
    say: message => { for (const link of links) link.say(message) }
  }
}
