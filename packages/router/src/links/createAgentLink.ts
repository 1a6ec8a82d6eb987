import { EitherAsync, Left, Right } from 'purify-ts'
import { match } from 'ts-pattern'
import { FaultKind, makeFault, runInBackground, sleep } from '@figmount/base'
import { HEARTBEAT_MS, mergeReport, NO_OFFSET } from '@figmount/peers'

import { createMailbox } from '../answers/createMailbox.js'
import { RouterEvent } from '../events.js'
import { FIRST_BACKOFF_MS, IDLE_LINK_MS, LEAVING_EXPIRY_MS, MAILBOX_FRAME_COUNT, MAX_BACKOFF_MS } from './constants.js'
import { receiveSafely } from './receiveSafely.js'

import type { Either } from 'purify-ts'
import type { AttemptId, EventLog, Fault, Incarnation, InstanceName, TimerService } from '@figmount/base'
import type { AgentReport, AgentToRouterMessage, Link, PermitReply, RouterToAgentMessage } from '@figmount/peers'
import type { Mailbox } from '../answers/createMailbox.js'
import type { AgentLink, AgentView, AttemptChannel, AttemptMessage, AttemptNotice, DialAgent, LinkHooks } from './types.js'

export interface AgentLinkOptions {
  readonly instance: InstanceName
  readonly router: InstanceName
  readonly routerIncarnation: Incarnation
  readonly dial: DialAgent
  readonly hooks: LinkHooks
  readonly timers: TimerService
  readonly events: EventLog
  /** Returns random numbers in [0, 1), used as jitter for dials after a common failure. */
  readonly random: () => number
  /** Age above which a report is requested although other messages are sent; grows with the number of links. */
  readonly reportPeriodMs: () => number
}

type OpenLink = Link<RouterToAgentMessage, AgentToRouterMessage>

interface OpenAttempt {
  readonly mailbox: Mailbox<AttemptNotice>
  readonly nextFrame: () => number
  isBegun: boolean
}

/**
 * Creates the link to one agent. One task dials, performs the handshake, reads messages and redials
 * with backoff while the agent is in use, then lets the connection close.
 */
export const createAgentLink = (options: AgentLinkOptions): AgentLink => {
  const { instance, timers, events, hooks } = options
  const attempts = new Map<AttemptId, OpenAttempt>()
  const pendingPermits = new Map<number, (reply: PermitReply) => void>()
  const openWaiters = new Set<(result: Either<Fault, AgentView>) => void>()
  const reportWaiters = new Set<() => void>()
  let view: AgentView = {
    instance,
    isOpen: false,
    incarnation: undefined,
    dataCentre: undefined,
    report: undefined,
    reportAtMs: -Infinity,
    intervalAtMs: -Infinity,
    unreachableSinceMs: undefined,
    leavingUntilMs: -Infinity,
    appliedOffset: NO_OFFSET
  }
  let link: OpenLink | undefined
  let isRunning = false
  let isStopped = false
  let lastUsedMs = timers.nowMs()
  let lastSentMs = timers.nowMs()
  let downSinceMs = timers.nowMs()
  let failedDialCount = 0
  let nextAskId = 0

  const isWanted = (): boolean =>
    !isStopped && (attempts.size > 0 || pendingPermits.size > 0 || openWaiters.size > 0 || timers.nowMs() - lastUsedMs < IDLE_LINK_MS)

  const send = (message: RouterToAgentMessage): boolean => {
    if (!link?.isOpen()) return false
    link.send(message)
    lastSentMs = timers.nowMs()
    return true
  }

  const settleWaiters = (result: Either<Fault, AgentView>): void => {
    for (const settle of [...openWaiters]) settle(result)
  }

  const applyReport = (report: AgentReport, incarnation: Incarnation | undefined): void => {
    const isOlder = view.report && view.incarnation === incarnation && report.sequence <= view.report.sequence
    if (isOlder) return
    const nowMs = timers.nowMs()
    const hasNewInterval = report.tokenIntervalMs !== view.report?.tokenIntervalMs
    view = { ...view, report: mergeReport(view.report, report), incarnation, reportAtMs: nowMs, intervalAtMs: hasNewInterval ? nowMs : view.intervalAtMs }
  }

  // A message sent on a broken connection may have arrived, so the new connection resumes each attempt instead of
  // sending its start again. This prevents a request from running twice.
  const resumeAttempts = (): void => {
    for (const [attemptId, attempt] of attempts) {
      if (!attempt.isBegun) continue
      const fromFrame = attempt.nextFrame()
      send({ type: 'resume', attemptId, fromFrame })
      events.emit(RouterEvent.attemptResumed, { attemptId, peer: instance, count: fromFrame })
    }
  }

  const applyWelcome = (welcome: Extract<AgentToRouterMessage, { type: 'welcome' }>): void => {
    const isNewIncarnation = view.incarnation !== welcome.incarnation
    view = {
      ...view,
      isOpen: true,
      incarnation: welcome.incarnation,
      dataCentre: welcome.dataCentre,
      report: isNewIncarnation ? undefined : view.report,
      unreachableSinceMs: undefined,
      leavingUntilMs: isNewIncarnation ? -Infinity : view.leavingUntilMs
    }
    applyReport(welcome.report, welcome.incarnation)
    failedDialCount = 0
    events.emit(RouterEvent.agentReached, { peer: instance })
    resumeAttempts()
    settleWaiters(Right(view))
  }

  const deliver = (message: AttemptMessage): void => {
    const attempt = attempts.get(message.attemptId)
    if (attempt) {
      attempt.mailbox.push(message)
      return
    }
    events.emit(RouterEvent.frameDropped, { attemptId: message.attemptId, peer: instance, reason: 'nobody waits for this attempt' })
  }

  const handle = (message: AgentToRouterMessage): void => match(message)
    // Most frequent messages first: the patterns are tried in order.
    .with({ type: 'tokens' }, { type: 'final' }, { type: 'progress' }, { type: 'refused' }, { type: 'unknown' }, deliver)
    .with({ type: 'welcome' }, applyWelcome)
    .with({ type: 'heartbeat.ack' }, ({ report }) => {
      for (const settle of [...reportWaiters]) settle()
      if (report) return applyReport(report, view.incarnation)
      view = { ...view, reportAtMs: timers.nowMs() }
    })
    .with({ type: 'permit.reply' }, ({ askId, reply }) => { pendingPermits.get(askId)?.(reply) })
    .with({ type: 'leaving' }, leaving => {
      view = { ...view, leavingUntilMs: Infinity }
      events.emit(RouterEvent.agentLeaving, { peer: instance })
      hooks.onShared(instance, leaving)
    })
    .with({ type: 'records' }, { type: 'records.ask' }, { type: 'suspect' }, shared => hooks.onShared(instance, shared))
    .exhaustive()

  // The agent closes a link on which it receives nothing; any message within the last period keeps it open.
  const hasSentRecently = (): boolean => timers.nowMs() - lastSentMs < HEARTBEAT_MS

  const isReportFresh = (): boolean => timers.nowMs() - view.reportAtMs < options.reportPeriodMs()

  const sendHeartbeatIfDue = (): void => {
    if (!isWanted()) return link?.close('idle')
    if (hasSentRecently() && isReportFresh()) return
    send({ type: 'heartbeat', sentAtMs: timers.nowMs() })
  }

  const runConnection = async (opened: OpenLink): Promise<void> => {
    link = opened
    send({ type: 'hello', instance: options.router, incarnation: options.routerIncarnation, role: 'router' })
    const stopHeartbeats = timers.every(HEARTBEAT_MS, sendHeartbeatIfDue)
    for await (const message of opened.received) receiveSafely(events, instance, message, handle)
    stopHeartbeats()
    link = undefined
    downSinceMs = timers.nowMs()
    const leavingUntilMs = Math.min(view.leavingUntilMs, downSinceMs + LEAVING_EXPIRY_MS)
    view = { ...view, isOpen: false, leavingUntilMs }
  }

  const notifyLinkDown = (): void => {
    const downMs = timers.nowMs() - downSinceMs
    for (const { mailbox } of attempts.values()) mailbox.push({ type: 'link.down', downMs, failedDialCount })
  }

  const recordFailedDial = (fault: Fault): void => {
    failedDialCount += 1
    if (view.unreachableSinceMs === undefined) {
      view = { ...view, unreachableSinceMs: timers.nowMs() }
      events.emit(RouterEvent.agentUnreachable, { peer: instance, step: fault.step, reason: fault.message })
    }
    settleWaiters(Left(fault))
  }

  const backOffMs = (): number => {
    const fullMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** Math.max(0, failedDialCount - 1))
    return fullMs * (0.5 + options.random() / 2)
  }

  const run = async (): Promise<void> => {
    downSinceMs = timers.nowMs()
    while (isWanted()) {
      const dialled = await options.dial(instance, offset => {
        view = { ...view, appliedOffset: offset }
        hooks.onOffset(instance, offset)
      }).run()
      if (dialled.isRight()) await runConnection(dialled.unsafeCoerce())
      else recordFailedDial(dialled.swap().unsafeCoerce())
      notifyLinkDown()
      if (isWanted()) await sleep(timers, backOffMs())
    }
    isRunning = false
  }

  const ensureRunning = (): void => {
    lastUsedMs = timers.nowMs()
    if (isRunning || isStopped) return
    isRunning = true
    runInBackground(events, 'links.run', run())
  }

  const waitUntilOpen = async (waitMs: number): Promise<Either<Fault, AgentView>> =>
    await new Promise(resolve => {
      const settle = (result: Either<Fault, AgentView>): void => {
        cancel()
        openWaiters.delete(settle)
        resolve(result)
      }
      const cancel = timers.after(waitMs, () =>
        settle(Left(makeFault(FaultKind.Timeout, 'links.whenOpen', instance, 'no welcome in time'))))
      openWaiters.add(settle)
    })

  const openAttempt = (attemptId: AttemptId, nextFrame: () => number): AttemptChannel => {
    const mailbox = createMailbox<AttemptNotice>(timers, MAILBOX_FRAME_COUNT)
    const attempt: OpenAttempt = { mailbox, nextFrame, isBegun: false }
    attempts.set(attemptId, attempt)
    ensureRunning()
    return {
      begin: message => {
        attempt.isBegun = send(message)
        return attempt.isBegun
      },
      send,
      take: mailbox.take,
      hasOverflowed: mailbox.hasOverflowed,
      close: () => {
        attempts.delete(attemptId)
        lastUsedMs = timers.nowMs()
      }
    }
  }

  const waitForReply = async (askId: number, waitMs: number): Promise<PermitReply | undefined> =>
    await new Promise(resolve => {
      const settle = (reply?: PermitReply): void => {
        cancel()
        pendingPermits.delete(askId)
        resolve(reply)
      }
      const cancel = timers.after(waitMs, settle)
      pendingPermits.set(askId, settle)
    })

  return {
    view: () => view,
    whenOpen: waitMs => EitherAsync.fromPromise(async () => {
      if (isStopped) return Left(makeFault(FaultKind.Unavailable, 'links.whenOpen', instance, 'link is stopped'))
      ensureRunning()
      return view.isOpen ? Right(view) : await waitUntilOpen(waitMs)
    }),
    refresh: async waitMs => await new Promise(resolve => {
      const settle = (): void => {
        cancel()
        reportWaiters.delete(settle)
        resolve()
      }
      const cancel = timers.after(waitMs, settle)
      reportWaiters.add(settle)
      send({ type: 'heartbeat', sentAtMs: timers.nowMs() })
    }),
    keepOpen: ensureRunning,
    openAttempt,
    askPermit: (ask, waitMs) => EitherAsync.fromPromise(async () => {
      ensureRunning()
      const askId = nextAskId++
      const sent = send({ type: 'permit.ask', askId, ...ask })
      if (!sent) return Left(makeFault(FaultKind.Unavailable, 'links.askPermit', instance, 'no open connection'))
      const reply = await waitForReply(askId, waitMs)
      return reply ? Right(reply) : Left(makeFault(FaultKind.Timeout, 'links.askPermit', instance, 'no reply in time'))
    }),
    send,
    idleSinceMs: () => view.isOpen && attempts.size === 0 && pendingPermits.size === 0 ? lastUsedMs : undefined,
    release: reason => {
      lastUsedMs = -Infinity
      link?.close(reason)
    },
    stop: reason => {
      isStopped = true
      link?.close(reason)
    }
  }
}
