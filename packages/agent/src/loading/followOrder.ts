import { FaultKind, sleep } from '@figmount/base'

import { isConnectFailure } from '../engine/engineFaults.js'
import { AgentEvent } from '../events.js'
import { ORDER_POLL_MS } from './constants.js'
import { judgeOrder } from './judgeOrder.js'

import type { EventLog, Fault, TimerService } from '@figmount/base'
import type { EngineClient, EngineOrder, Inventory } from '../engine/types.js'
import type { OrderOutcome } from './types.js'

interface Options {
  readonly engine: EngineClient
  readonly timers: TimerService
  readonly events: EventLog
  readonly order: EngineOrder
  /** False for an order that an earlier run of the agent sent. */
  readonly shouldSend: boolean
  readonly signal: AbortSignal
}

/** Fault kinds with which the engine itself refuses an order. */
const REFUSAL_KINDS: readonly FaultKind[] = [
  FaultKind.Invalid, FaultKind.NotFound, FaultKind.Conflict, FaultKind.Exhausted, FaultKind.Unauthenticated
]

/** State of the call that carries an order. */
type CallState =
  | { readonly kind: 'pending' }
  | { readonly kind: 'done', readonly tookMs: number }
  /** The engine refused the order. */
  | { readonly kind: 'refused', readonly fault: Fault }
  /** The call failed and the order may have arrived. `isEngineGone`: the process that may have received it has ended. */
  | { readonly kind: 'broken', readonly isEngineGone: boolean }

const sendOrder = async ({ engine, events, order, signal }: Options): Promise<CallState> => {
  const result = await engine.order(order, signal).run()
  return result.caseOf<CallState>({
    Right: ({ tookMs }) => ({ kind: 'done', tookMs }),
    Left: fault => {
      if (REFUSAL_KINDS.includes(fault.kind)) return { kind: 'refused', fault }
      if (!signal.aborted) {
        events.emit(AgentEvent.orderDoubtful, { model: order.model, fence: order.fence, step: fault.step, peer: fault.peer, reason: fault.message })
      }
      return { kind: 'broken', isEngineGone: isConnectFailure(fault) }
    }
  })
}

const notDone = (call: CallState, inventory: Inventory): OrderOutcome => {
  if (call.kind !== 'refused') return { kind: 'notDone', reason: 'no answer, and the engine shows no effect', isStoreFull: false, inventory }
  return { kind: 'notDone', reason: call.fault.message, isStoreFull: call.fault.kind === FaultKind.Exhausted, inventory }
}

/** True if an inventory without the order's effect proves that the order will have none. */
const isFinal = (call: CallState): boolean => call.kind === 'refused' || (call.kind === 'broken' && call.isEngineGone)

/**
 * Sends an order and determines its result; resolves only with a confirmed result, or undefined when `signal` aborts.
 * The inventory is also read while the answer is pending: if the connection goes silent during a long load, the agent
 * would otherwise never detect that the model is ready. A refusal is checked against the inventory as well, because
 * the engine refuses a duplicate of an order that took effect.
 */
export const followOrder = async (options: Options): Promise<OrderOutcome | undefined> => {
  const { engine, timers, order, shouldSend, signal } = options
  const sentAtMs = timers.nowMs()
  const callAbort = new AbortController()
  const answerArrived = new AbortController()
  const abort = (): void => {
    callAbort.abort()
    answerArrived.abort()
  }
  signal.addEventListener('abort', abort, { once: true })
  let call: CallState = { kind: 'pending' }
  const state = (): CallState => call

  const onAnswer = (answer: CallState): void => {
    call = answer
    answerArrived.abort()
  }
  if (shouldSend) {
    sendOrder({ ...options, signal: callAbort.signal }).then(onAnswer, () => onAnswer({ kind: 'broken', isEngineGone: false }))
  }

  try {
    while (!signal.aborted) {
      await sleep(timers, ORDER_POLL_MS, state().kind === 'pending' ? answerArrived.signal : signal)
      const askedAtMs = timers.nowMs()
      const known = state()
      if (known.kind === 'done') return known
      const inventoryResult = await engine.inventory().run()
      const current = state()
      if (current.kind === 'done') return current
      const inventory = inventoryResult.toMaybe().extract()
      if (!inventory) {
        // Connection refused: the process that may have received the order has ended, and the call with it.
        if (known.kind === 'broken' && inventoryResult.swap().map(isConnectFailure).orDefault(false)) call = { kind: 'broken', isEngineGone: true }
        continue
      }
      const judgement = judgeOrder(order, isFinal(known) ? Number.NEGATIVE_INFINITY : sentAtMs, inventory, askedAtMs)
      if (judgement === 'done') return { kind: 'done', tookMs: Math.round(timers.nowMs() - sentAtMs) }
      if (judgement === 'notDone') return notDone(current, inventory)
    }
    return undefined
  } finally {
    signal.removeEventListener('abort', abort)
    callAbort.abort()
  }
}
