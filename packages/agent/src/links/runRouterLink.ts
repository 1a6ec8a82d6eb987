import { match } from 'ts-pattern'
import { BaseEvent } from '@figmount/base'
import { createDeltaReporter } from '@figmount/peers'

import { MAX_REASON_LENGTH, RECORDS_PER_MESSAGE } from './constants.js'

import type { AttemptId, DataCentre } from '@figmount/base'
import type { AgentReport, PermitReply, RouterToAgentMessage } from '@figmount/peers'
import type { HandleStart } from '../agent/createAdmission.js'
import type { AgentContext } from '../agent/types.js'
import type { AttemptStore } from '../attempts/types.js'
import type { PeerSuspicion } from '../suspects/createSuspectTracker.js'
import type { KeyName } from '../once/types.js'
import type { RouterLink } from './createLinkRegistry.js'

type ToDelta = ReturnType<typeof createDeltaReporter>

type PermitAsk = Extract<RouterToAgentMessage, { type: 'permit.ask' }>

/** The functions that handle a router's messages. */
export interface LinkHandlers {
  readonly context: AgentContext
  readonly attempts: AttemptStore
  readonly start: HandleStart
  readonly cancel: (id: AttemptId) => void
  /** Discards a held start, because its router cancelled it or is told that the attempt is unknown. */
  readonly dropHeld: (id: AttemptId) => void
  readonly askPermit: (ask: PermitAsk) => PermitReply
  readonly withdrawPermit: (key: KeyName, attemptId: AttemptId) => void
  readonly takeSuspicion: (suspicion: PeerSuspicion) => void
  readonly report: () => AgentReport
  readonly onOpen: (link: RouterLink) => void
  readonly onClose: (link: RouterLink) => void
}

const handle = (handlers: LinkHandlers, link: RouterLink, toDelta: ToDelta, message: RouterToAgentMessage): void => {
  const { context, attempts } = handlers
  const { records, instance, incarnation, settings } = context
  return match(message)
    .with({ type: 'hello' }, () => {
      const dataCentre = settings.process.data_centre as DataCentre
      const report = handlers.report()
      link.send({ type: 'welcome', instance, incarnation, dataCentre, report: toDelta(report) ?? report })
    })
    .with({ type: 'heartbeat' }, ({ sentAtMs }) => {
      const report = toDelta(handlers.report())
      link.send({ type: 'heartbeat.ack', sentAtMs, ...(report ? { report } : {}) })
    })
    .with({ type: 'start' }, start => handlers.start(start, link))
    .with({ type: 'resume' }, ({ attemptId, fromFrame }) => {
      const known = attempts.resolve(attemptId)
      if (known && attempts.subscribe(known, attemptId, link, fromFrame)) return
      handlers.dropHeld(attemptId)
      link.send({ type: 'unknown', attemptId, incarnation })
    })
    .with({ type: 'ack' }, ({ attemptId, belowFrame }) => attempts.acknowledge(attemptId, belowFrame, link))
    .with({ type: 'cancel' }, ({ attemptId }) => {
      handlers.dropHeld(attemptId)
      const known = attempts.resolve(attemptId)
      if (known && attempts.unsubscribe(attemptId, link)) handlers.cancel(known)
    })
    .with({ type: 'permit.ask' }, ask => link.send({ type: 'permit.reply', askId: ask.askId, reply: handlers.askPermit(ask) }))
    .with({ type: 'permit.withdraw' }, ({ target, caller, requestKey, attemptId }) =>
      handlers.withdrawPermit({ target, caller, requestKey }, attemptId))
    .with({ type: 'records' }, ({ records: offered }) => records.offer(offered))
    .with({ type: 'records.ask' }, ({ fromOffset }) => {
      const found = records.rawFrom(fromOffset, RECORDS_PER_MESSAGE)
      if (found.length > 0) link.send({ type: 'records', records: found })
    })
    .with({ type: 'suspect' }, handlers.takeSuspicion)
    .exhaustive()
}

/** Reports and ignores a message of a newer version or with missing fields; other attempts on the link continue. */
const handleSafely = (handlers: LinkHandlers, link: RouterLink, toDelta: ToDelta, message: RouterToAgentMessage): void => {
  try {
    handle(handlers, link, toDelta, message)
  } catch (error) {
    handlers.context.events.emit(BaseEvent.badInput, { peer: link.peer, step: 'links.handle', reason: (error as Error).message.slice(0, MAX_REASON_LENGTH) })
  }
}

/** Reads the messages of one router's connection until it ends. Its attempts continue after that. */
export const runRouterLink = (handlers: LinkHandlers) => async (link: RouterLink): Promise<void> => {
  const toDelta = createDeltaReporter()
  handlers.onOpen(link)
  try {
    for await (const message of link.received) handleSafely(handlers, link, toDelta, message)
  } finally {
    handlers.attempts.unsubscribeAll(link)
    handlers.onClose(link)
  }
}
