import { runInBackground, sleep } from '@figmount/base'
import { OrderAnswer } from '@figmount/fleet'

import { SidecarEvent } from '../events.js'
import { FAST_POLL_MS, ORDER_RETRY_MS, ORDER_TIMEOUT_MS, POLL_DISTANCE_SHARE, POLL_MS, REST_POLL_MS } from './constants.js'
import { createLeaving } from './createLeaving.js'
import { createLostOrders } from './createLostOrders.js'
import { loadMsOf, nextOrder } from './viewEngine.js'

import type { EventLog, Fault, TimerService } from '@figmount/base'
import type { PlannedOrder } from '@figmount/decisions'
import type { EnginePort, EngineSpec, ServerReport } from '@figmount/fleet'
import type { DemandBook } from '../demand/createDemandBook.js'
import type { WantBook } from '../wants/createWantBook.js'

/** The load that is under way. */
export interface CurrentLoad {
  readonly modelName: string
  readonly isCold: boolean
  readonly endsAtMs: number
  /** When the engine was first seen busy with it; undefined until then. */
  readonly beganMs: number | undefined
}

/** A load from the weight store whose order got no answer: it has begun, or may begin within seconds. */
interface UnansweredLoad {
  readonly modelName: string
  readonly orderCount: number
}

interface Options {
  readonly engine: EnginePort
  readonly timers: TimerService
  readonly events: EventLog
  readonly demand: DemandBook
  readonly wants: WantBook
  readonly spec: () => EngineSpec | undefined
  readonly serverId: () => string
  /** Another start of the server has answered: the id in use is of one that is gone. */
  readonly noteOtherServer: () => void
  /** Time between two loads from the weight store that one agent begins. */
  readonly coldSpacingMs: number
  /** False after a restart: a load that the process before it began may be recent. */
  readonly isFirstStart: boolean
  /** Something changed that routers must know. */
  readonly changed: () => void
  /** Reads the report at once. */
  readonly hurry: () => void
}

/** Gives the engine its orders, one after the other. */
export interface Orderer {
  readonly take: (report: ServerReport) => void
  /** Looks for the next order. */
  readonly review: () => void
  /** The newest report, undefined while the engine does not answer. */
  readonly report: () => ServerReport | undefined
  readonly forget: () => void
  /** The engine has started again: it holds nothing, and its counts start anew. */
  readonly noteRestart: () => void
  readonly leavingModels: () => readonly string[]
  readonly currentLoad: () => CurrentLoad | undefined
  /** Time until a load from the weight store may begin. */
  readonly coldWaitMs: () => number
  readonly heldSinceMs: () => ReadonlyMap<string, number>
  /** Time until the next report is worth reading. */
  readonly nextPollMs: () => number
}

/** Makes the orderer of one agent, the only process that orders its engine. */
export const createOrderer = (options: Options): Orderer => {
  const { timers, events } = options
  const heldSinceMs = new Map<string, number>()
  let report: ServerReport | undefined
  const leaving = createLeaving(timers, options.changed)
  let load: CurrentLoad | undefined
  let lastColdMs = options.isFirstStart ? -Infinity : timers.nowMs()
  // An order that is turned away has begun no load: the time of the one before it counts again.
  let coldBeforeMs = lastColdMs
  let unanswered: UnansweredLoad | undefined
  let isOrdering = false
  let ordersWithoutReport = false
  let startNumber = 0
  let lastOrderMs = -Infinity
  const lostOrders = createLostOrders(timers)

  const coldWaitMs = (): number => Math.max(0, lastColdMs + options.coldSpacingMs - timers.nowMs())

  const noteHeld = (next: ServerReport): void => {
    const names = new Set(next.models.map(model => model.name))
    for (const name of [...heldSinceMs.keys()]) {
      if (!names.has(name)) heldSinceMs.delete(name)
    }
    for (const name of names) {
      if (!heldSinceMs.has(name)) heldSinceMs.set(name, report ? timers.nowMs() : -Infinity)
    }
    if (load && names.has(load.modelName)) load = undefined
    if (load && !next.isBusy && !ordersWithoutReport) load = undefined
    if (load && next.isBusy) load = { ...load, beganMs: load.beganMs ?? timers.nowMs() }
    leaving.noteHeld(names)
  }

  const noteAnswer = (planned: PlannedOrder, answer: OrderAnswer, isOfThisStart: boolean): void => {
    events.emit(SidecarEvent.orderAnswered, { model: planned.modelName, adapter: planned.adapterName, step: planned.operation, reason: answer })
    if (answer === OrderAnswer.OtherServer) options.noteOtherServer()
    if (!isOfThisStart) return
    if (answer === OrderAnswer.Accepted || answer === OrderAnswer.AlreadyDone) return
    load = undefined
    leaving.takeBack()
    lastColdMs = coldBeforeMs
  }

  const noteSilence = (planned: PlannedOrder, orderCount: number, fault: Fault, isOfThisStart: boolean): void => {
    if (planned.isCold && isOfThisStart) unanswered = { modelName: planned.modelName, orderCount }
    events.emit(SidecarEvent.orderUnanswered, { model: planned.modelName, adapter: planned.adapterName, step: planned.operation, reason: fault.message })
  }

  const send = async (planned: PlannedOrder, current: ServerReport, spec: EngineSpec): Promise<void> => {
    const { modelName, adapterName, operation } = planned
    const isWholeModel = adapterName === ''
    if (operation === 'load' && isWholeModel) {
      const loadMs = loadMsOf(current, spec.models.find(model => model.name === modelName), modelName)
      load = { modelName, isCold: planned.isCold, endsAtMs: timers.nowMs() + loadMs, beganMs: undefined }
    }
    // Begins before the order leaves: its answer may be lost though the load has begun.
    coldBeforeMs = lastColdMs
    if (planned.isCold && coldWaitMs() === 0) lastColdMs = timers.nowMs()
    lastOrderMs = timers.nowMs()
    events.emit(SidecarEvent.orderSent, { model: modelName, adapter: adapterName, step: operation, count: current.orderCount })
    // The count that the engine must have accepted guards against an order that was given up and is carried out
    // seconds later, after newer ones: it would load what no longer fits, and the engine would crash.
    const order = { operation, modelName, adapterName, expectedOrderCount: current.orderCount }
    const serverId = options.serverId()
    const sentTo = startNumber
    const result = await options.engine.sendOrder(serverId, order, ORDER_TIMEOUT_MS).run()
    const isOfThisStart = sentTo === startNumber
    if (result.isLeft()) lostOrders.note(serverId, order, !isOfThisStart)
    result.caseOf({
      Left: fault => noteSilence(planned, current.orderCount, fault, isOfThisStart),
      Right: answer => noteAnswer(planned, answer, isOfThisStart)
    })
    ordersWithoutReport = true
    options.hurry()
    const isDone = result.map(answer => answer !== OrderAnswer.Conflict && answer !== OrderAnswer.Rejected).orDefault(false)
    if (!isDone) await sleep(timers, ORDER_RETRY_MS)
  }

  const orderOnce = async (): Promise<void> => {
    const spec = options.spec()
    if (!report || !spec || options.serverId() === '' || report.isDraining || ordersWithoutReport) return
    const nowMs = timers.nowMs()
    const plannedFor = startNumber
    const { order: planned, drainingModel } = nextOrder({
      spec,
      report,
      demand: options.demand,
      wants: options.wants.open(),
      mayLoadCold: coldWaitMs() === 0,
      comingModel: load?.modelName ?? '',
      unansweredLoad: unanswered && unanswered.orderCount === report.orderCount ? unanswered.modelName : '',
      reserve: lostOrders.reserve(options.serverId(), report, spec),
      nowMs,
      heldSinceMs
    })
    const isWholeUnload = planned?.operation === 'unload' && planned.adapterName === ''
    if (!isWholeUnload) leaving.drain(drainingModel)
    if (!planned) return
    const seen = report.orderCount
    if (isWholeUnload) await leaving.giveNotice(planned.modelName)
    // A restart under the same id may bring the same count: the plan was made for what the start before held.
    if (!report || report.orderCount !== seen || startNumber !== plannedFor || options.serverId() === '') {
      leaving.takeBack()
      return
    }
    await send(planned, report, spec)
    options.changed()
  }

  const review = (): void => {
    if (isOrdering) return
    isOrdering = true
    runInBackground(events, 'engine.order', orderOnce().finally(() => { isOrdering = false }))
  }

  // What takes milliseconds is looked at often, and the longer it takes beyond that the less often. The same for what is
  // expected at a time, before and after it: a load at a busy store may be seconds late.
  const pollWithin = (distanceMs: number): number =>
    Math.min(POLL_MS, Math.max(FAST_POLL_MS, distanceMs * POLL_DISTANCE_SHARE))

  const isAtRest = (): boolean =>
    report !== undefined && report.runningCount === 0 && report.startingCount === 0 && options.wants.open().length === 0

  const nextPollMs = (): number => {
    if (ordersWithoutReport) return FAST_POLL_MS
    if (load) return pollWithin(Math.abs(load.endsAtMs - timers.nowMs()))
    const isChanging = leaving.isUnloading() || (report?.arrivingAdapters.length ?? 0) > 0
    if (isChanging) return pollWithin(timers.nowMs() - lastOrderMs)
    return isAtRest() ? REST_POLL_MS : POLL_MS
  }

  const forget = (): void => {
    report = undefined
    load = undefined
    leaving.forget()
    heldSinceMs.clear()
  }

  return {
    take: next => {
      ordersWithoutReport = false
      noteHeld(next)
      report = next
    },
    review,
    report: () => report,
    forget,
    noteRestart: () => {
      startNumber += 1
      unanswered = undefined
      lostOrders.noteRestart()
      forget()
    },
    leavingModels: leaving.names,
    currentLoad: () => load,
    coldWaitMs,
    heldSinceMs: () => heldSinceMs,
    nextPollMs
  }
}
