import { FaultKind, sleep } from '@figmount/base'

import { AgentEvent } from '../events.js'
import { ORDER_POLL_MS } from './constants.js'
import { judgeOrder } from './judgeOrder.js'

import type { EventLog, Fault, TimerService } from '@figmount/base'
import type { EngineClient, EngineOrder } from '../engine/types.js'
import type { OrderOutcome } from './types.js'

interface Options {
  readonly engine: EngineClient
  readonly timers: TimerService
  readonly events: EventLog
  readonly order: EngineOrder
  /** False for an order that an earlier run of the agent sent. */
  readonly mustSend: boolean
  readonly signal: AbortSignal
}

/** Faults by which the engine itself says that it has refused the order. */
const REFUSALS: readonly FaultKind[] = [
  FaultKind.Invalid, FaultKind.NotFound, FaultKind.Conflict, FaultKind.Exhausted, FaultKind.Unauthenticated
]

/** Sends an order once; wakes `onEnd` with its answer. */
const sendOrder = async ({ engine, events, order, signal }: Options, onEnd: (answer: OrderOutcome | Fault | undefined) => void): Promise<void> => {
  const result = await engine.order(order, signal).run()
  result.caseOf({
    Right: ({ tookMs }) => onEnd({ kind: 'done', tookMs }),
    Left: fault => {
      if (REFUSALS.includes(fault.kind)) return onEnd(fault)
      if (signal.aborted) return onEnd(undefined)
      events.emit(AgentEvent.orderDoubtful, { model: order.model, fence: order.fence, step: fault.step, peer: fault.peer, reason: fault.message })
      onEnd(undefined)
    }
  })
}

/**
 * Sends an order and finds out what became of it; resolves only with the truth, or undefined when `signal` aborts.
 * While the answer is out, the inventory is asked too: a connection that goes silent during a long load would
 * otherwise hide for ever that the model is ready. A refusal is checked against the inventory as well,
 * because the engine refuses an order that doubles one which took effect.
 */
export const followOrder = async (options: Options): Promise<OrderOutcome | undefined> => {
  const { engine, timers, order, mustSend, signal } = options
  const sentAtMs = timers.nowMs()
  const call = new AbortController()
  const wake = new AbortController()
  const abort = (): void => {
    call.abort()
    wake.abort()
  }
  signal.addEventListener('abort', abort, { once: true })
  let done: OrderOutcome | undefined
  let refusal: Fault | undefined
  let isAnswered = false

  const onEnd = (answer: OrderOutcome | Fault | undefined): void => {
    if (answer && answer.kind === 'done') done = answer as OrderOutcome
    else refusal = answer as Fault | undefined
    isAnswered = true
    wake.abort()
  }
  if (mustSend) {
    sendOrder({ ...options, signal: call.signal }, onEnd).catch(() => onEnd(undefined))
  }

  try {
    while (!signal.aborted) {
      if (!refusal || !isAnswered) await sleep(timers, ORDER_POLL_MS, isAnswered ? signal : wake.signal)
      if (done) return done
      const askedAtMs = timers.nowMs()
      const inventory = (await engine.inventory().run()).toMaybe().extract()
      if (done) return done
      if (!inventory) {
        if (refusal) await sleep(timers, ORDER_POLL_MS, signal)
        continue
      }
      const judgement = judgeOrder(order, refusal ? Number.NEGATIVE_INFINITY : sentAtMs, inventory, askedAtMs)
      if (judgement === 'done') return { kind: 'done', tookMs: Math.round(timers.nowMs() - sentAtMs) }
      if (judgement === 'notDone') {
        const reason = refusal ? refusal.message : 'no answer, and the engine shows no effect'
        return { kind: 'notDone', reason, storeIsFull: refusal?.kind === FaultKind.Exhausted, inventory }
      }
      if (refusal) await sleep(timers, ORDER_POLL_MS, signal)
    }
    return undefined
  } finally {
    signal.removeEventListener('abort', abort)
    call.abort()
  }
}
