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

/** Faults by which the engine itself says that it has refused the order. */
const REFUSAL_KINDS: readonly FaultKind[] = [
  FaultKind.Invalid, FaultKind.NotFound, FaultKind.Conflict, FaultKind.Exhausted, FaultKind.Unauthenticated
]

/** What is known of the call that carries an order. */
type CallState =
  | { readonly kind: 'pending' }
  | { readonly kind: 'done', readonly tookMs: number }
  /** The engine itself has refused it. */
  | { readonly kind: 'refused', readonly fault: Fault }
  /** It broke; the order may have arrived. `isGone`: no process is left that can have got it. */
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

/** True when no effect in an inventory proves that there will be none. */
const isFinal = (call: CallState): boolean => call.kind === 'refused' || (call.kind === 'broken' && call.isEngineGone)

/**
 * Sends an order and finds out what became of it; resolves only with the truth, or undefined when `signal` aborts.
 * While the answer is out, the inventory is asked too: a connection that goes silent during a long load would
 * otherwise hide for ever that the model is ready. A refusal is checked against the inventory as well,
 * because the engine refuses an order that doubles one which took effect.
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
        // Nothing listens: the process that may have got the order has ended, and its call with it.
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
