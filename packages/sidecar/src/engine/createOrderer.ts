import { runInBackground, sleep } from '@figmount/base'
import { OrderAnswer } from '@figmount/fleet'

import { SidecarEvent } from '../events.js'
import { FAST_POLL_MS, ORDER_RETRY_MS, ORDER_TIMEOUT_MS, POLL_INTERVAL_RATIO, POLL_MS, IDLE_POLL_MS, STALE_REPORT_MS } from './constants.js'
import { createModelDrain } from './createModelDrain.js'
import { createLostOrders } from './createLostOrders.js'
import { loadMsOf, planNextOrder } from './viewEngine.js'

import type { EventLog, Fault, ReadBarrier, TimerService } from '@figmount/base'
import type { ColdWant, PlannedOrder } from '@figmount/decisions'
import type { EnginePort, EngineSpec, ServerReport } from '@figmount/fleet'
import type { DemandTotals } from '../demand/createDemandTotals.js'
import type { LoadLeases } from '../leases/types.js'
import type { WantRegistry } from '../wants/createWantRegistry.js'

/** The load of a model that is in progress. */
export interface CurrentLoad {
  readonly modelName: string
  readonly isCold: boolean
  readonly endsAtMs: number
  /** When a report first showed the engine busy with it; undefined until then. */
  readonly beganMs: number | undefined
}

/** A load from the weight store whose order got no answer: it has begun or may begin within seconds. */
interface UnansweredLoad {
  readonly modelName: string
  readonly orderCount: number
}

interface Options {
  readonly engine: EnginePort
  readonly timers: TimerService
  /** Passed before an order is planned for wants. */
  readonly reads: ReadBarrier
  readonly events: EventLog
  readonly demand: DemandTotals
  readonly wants: WantRegistry
  readonly leases: LoadLeases
  readonly spec: () => EngineSpec | undefined
  readonly serverId: () => string
  /** Called when another start of the server has answered an order: the id in use belongs to an earlier start. */
  readonly noteOtherServer: () => void
  /** Least time between the starts of two loads from the weight store by one agent. */
  readonly coldSpacingMs: number
  /**
   * False after a restart of the agent: its previous process may have started a load from the weight store just before. Without leases
   * that bounds the loads of a system whose agents all restart.
   */
  readonly isFirstStart: boolean
  /** Called after a change that routers must be informed of. */
  readonly changed: () => void
  /** Reads the engine's report at once. */
  readonly pollNow: () => void
}

/** Sends the engine its orders, one after the other. */
export interface Orderer {
  readonly take: (report: ServerReport) => void
  /** Plans the next order and sends it, unless one is being sent. */
  readonly review: () => void
  /** The newest report; undefined while the engine does not answer. */
  readonly report: () => ServerReport | undefined
  readonly reset: () => void
  /** To be called after a restart of the engine: it holds no models, and its order count begins again. */
  readonly noteRestart: () => void
  readonly leavingModels: () => readonly string[]
  readonly currentLoad: () => CurrentLoad | undefined
  /** Model that is loaded from the weight store next; empty for none. */
  readonly nextColdModel: () => string
  /** Time until another load from the weight store may begin. */
  readonly coldWaitMs: () => number
  readonly heldSinceMs: () => ReadonlyMap<string, number>
  /** Time until the next report should be read. */
  readonly nextPollMs: () => number
}

/** Creates the orderer of one agent. No other process sends orders to its engine. */
export const createOrderer = (options: Options): Orderer => {
  const { timers, events, leases, reads } = options
  const heldSinceMs = new Map<string, number>()
  let report: ServerReport | undefined
  const modelDrain = createModelDrain(timers, options.changed)
  let load: CurrentLoad | undefined
  const restartedMs = options.isFirstStart ? -Infinity : timers.nowMs()
  let lastColdLoadMs = -Infinity
  // A rejected order has begun no load: the spacing is measured from the load before it again.
  let previousColdLoadMs = lastColdLoadMs
  let unansweredLoad: UnansweredLoad | undefined
  let isOrdering = false
  let isAwaitingReport = false
  /** Order count that reports show once the engine has taken the last order; undefined when none is awaited. */
  let awaitedOrderCount: number | undefined
  let startNumber = 0
  let lastOrderMs = -Infinity
  let nextColdModel = ''
  const lostOrders = createLostOrders(timers)

  const coldWaitMs = (): number => {
    const sinceMs = leases.leasedModel() === undefined ? Math.max(lastColdLoadMs, restartedMs) : lastColdLoadMs
    return Math.max(0, sinceMs + options.coldSpacingMs - timers.nowMs())
  }

  const updateHeld = (next: ServerReport): void => {
    const names = new Set(next.models.map(model => model.name))
    for (const name of [...heldSinceMs.keys()]) {
      if (!names.has(name)) heldSinceMs.delete(name)
    }
    for (const name of names) {
      if (!heldSinceMs.has(name)) heldSinceMs.set(name, report ? timers.nowMs() : -Infinity)
    }
    if (load && names.has(load.modelName)) load = undefined
    if (load && !next.isBusy && !isAwaitingReport) load = undefined
    if (load && next.isBusy) load = { ...load, beganMs: load.beganMs ?? timers.nowMs() }
    modelDrain.updateHeld(names)
  }

  const noteAnswer = (planned: PlannedOrder, answer: OrderAnswer, isCurrentStart: boolean): void => {
    events.emit(SidecarEvent.orderAnswered, { model: planned.modelName, adapter: planned.adapterName, step: planned.operation, reason: answer })
    if (answer === OrderAnswer.OtherServer) options.noteOtherServer()
    if (!isCurrentStart) return
    if (answer === OrderAnswer.Accepted || answer === OrderAnswer.AlreadyDone) return
    load = undefined
    modelDrain.cancelUnload()
    lastColdLoadMs = previousColdLoadMs
  }

  const noteTimeout = (planned: PlannedOrder, orderCount: number, fault: Fault, isCurrentStart: boolean): void => {
    if (planned.isCold && isCurrentStart) unansweredLoad = { modelName: planned.modelName, orderCount }
    events.emit(SidecarEvent.orderUnanswered, { model: planned.modelName, adapter: planned.adapterName, step: planned.operation, reason: fault.message })
  }

  const send = async (planned: PlannedOrder, current: ServerReport, spec: EngineSpec): Promise<void> => {
    const { modelName, adapterName, operation } = planned
    const isWholeModel = adapterName === ''
    if (operation === 'load' && isWholeModel) {
      const loadMs = loadMsOf(current, spec.models.find(model => model.name === modelName), modelName)
      load = { modelName, isCold: planned.isCold, endsAtMs: timers.nowMs() + loadMs, beganMs: undefined }
    }
    // Set before the order is sent: its answer may be lost although the load has begun.
    previousColdLoadMs = lastColdLoadMs
    if (planned.isCold && coldWaitMs() === 0) lastColdLoadMs = timers.nowMs()
    lastOrderMs = timers.nowMs()
    awaitedOrderCount = current.orderCount + 1
    events.emit(SidecarEvent.orderSent, { model: modelName, adapter: adapterName, step: operation, count: current.orderCount, ...(planned.isCold ? { detail: 'from the weight store' } : {}) })
    // The expected order count guards against an order that timed out here and is carried out seconds later, after newer
    // ones: it would load a model that does not fit any more, and the engine would crash.
    const order = { operation, modelName, adapterName, expectedOrderCount: current.orderCount }
    const serverId = options.serverId()
    const sentToStart = startNumber
    const result = await options.engine.sendOrder(serverId, order, ORDER_TIMEOUT_MS).run()
    const isCurrentStart = sentToStart === startNumber
    const isAccepted = result.map(answer => answer === OrderAnswer.Accepted).orDefault(false)
    if (!isAccepted) awaitedOrderCount = undefined
    if (result.isLeft()) lostOrders.add(serverId, order, !isCurrentStart)
    result.caseOf({
      Left: fault => noteTimeout(planned, current.orderCount, fault, isCurrentStart),
      Right: answer => noteAnswer(planned, answer, isCurrentStart)
    })
    isAwaitingReport = true
    options.pollNow()
    const isDone = result.map(answer => answer !== OrderAnswer.Conflict && answer !== OrderAnswer.Rejected).orDefault(false)
    if (!isDone) await sleep(timers, ORDER_RETRY_MS)
  }

  const reviewLeases = (coldWants: readonly ColdWant[]): void => {
    nextColdModel = coldWants[0]?.modelName ?? ''
    const isLoadingCold = load?.isCold === true
    leases.review({
      wants: isLoadingCold ? [] : coldWants,
      loadingModel: isLoadingCold && load?.beganMs !== undefined ? load.modelName : '',
      isMakingRoom: modelDrain.names().length > 0,
      isHeld: modelName => heldSinceMs.has(modelName)
    })
  }

  const isWanted = (): boolean => options.wants.open().length > 0

  const sendNextOrder = async (): Promise<void> => {
    // Guards against orders for callers that have left: the messages that drop their wants may lie unread behind these.
    if (isWanted()) await reads.pass()
    const spec = options.spec()
    if (isAwaitingReport) return
    if (!report || !spec || options.serverId() === '' || report.isDraining) return reviewLeases([])
    const nowMs = timers.nowMs()
    const plannedForStart = startNumber
    const { order: planned, drainingModel, coldWants } = planNextOrder({
      spec,
      report,
      demand: options.demand,
      wants: options.wants.open(),
      mayLoadCold: coldWaitMs() === 0,
      leasedModel: leases.leasedModel(),
      loadingModel: load?.modelName ?? '',
      unansweredLoad: unansweredLoad && unansweredLoad.orderCount === report.orderCount ? unansweredLoad.modelName : '',
      reserve: lostOrders.reserve(options.serverId(), report, spec),
      nowMs,
      heldSinceMs
    })
    reviewLeases(coldWants)
    const isWholeUnload = planned?.operation === 'unload' && planned.adapterName === ''
    if (!isWholeUnload) modelDrain.drain(drainingModel)
    if (!planned) return
    const plannedOrderCount = report.orderCount
    const isForWants = isWanted()
    if (isWholeUnload) {
      await modelDrain.beginUnload(planned.modelName)
      if (isForWants) await reads.pass()
    }
    const isForNobody = isForWants && !isWanted()
    // After a restart the same id may show the same order count, but the plan was made for what the earlier start held.
    if (isForNobody || !report || report.orderCount !== plannedOrderCount || startNumber !== plannedForStart || options.serverId() === '') {
      modelDrain.cancelUnload()
      return
    }
    await send(planned, report, spec)
    options.changed()
  }

  const review = (): void => {
    if (isOrdering) return
    isOrdering = true
    runInBackground(events, 'engine.order', sendNextOrder().finally(() => { isOrdering = false }))
  }

  // A change that takes milliseconds is polled often; the longer it takes, the less often it is polled. The same holds around the
  // time at which a change is expected, before and after it: a load from a busy weight store may be seconds late.
  const pollIntervalFor = (distanceMs: number): number =>
    Math.min(POLL_MS, Math.max(FAST_POLL_MS, distanceMs * POLL_INTERVAL_RATIO))

  const isIdle = (): boolean =>
    report !== undefined && report.runningCount === 0 && report.startingCount === 0 && options.wants.open().length === 0

  const nextPollMs = (): number => {
    if (isAwaitingReport) return FAST_POLL_MS
    if (load) return pollIntervalFor(Math.abs(load.endsAtMs - timers.nowMs()))
    const isChanging = modelDrain.isUnloading() || (report?.arrivingAdapters.length ?? 0) > 0
    if (isChanging) return pollIntervalFor(timers.nowMs() - lastOrderMs)
    return isIdle() ? IDLE_POLL_MS : POLL_MS
  }

  const reset = (): void => {
    report = undefined
    awaitedOrderCount = undefined
    load = undefined
    modelDrain.reset()
    heldSinceMs.clear()
    reviewLeases([])
  }

  // Guards against a report that was read before the last order: it shows an idle engine, and the load that has just begun would be
  // forgotten for as long as it takes.
  const isStale = (next: ServerReport): boolean =>
    awaitedOrderCount !== undefined && next.orderCount < awaitedOrderCount && timers.nowMs() - lastOrderMs < STALE_REPORT_MS

  return {
    take: next => {
      if (isStale(next)) return
      isAwaitingReport = false
      awaitedOrderCount = undefined
      updateHeld(next)
      report = next
    },
    review,
    report: () => report,
    reset,
    noteRestart: () => {
      startNumber += 1
      unansweredLoad = undefined
      lostOrders.noteRestart()
      reset()
    },
    leavingModels: modelDrain.names,
    nextColdModel: () => nextColdModel,
    currentLoad: () => load,
    coldWaitMs,
    heldSinceMs: () => heldSinceMs,
    nextPollMs
  }
}
