import { create } from '@bufbuild/protobuf'
import { Code, ConnectError } from '@connectrpc/connect'
import { describeFault, FaultKind } from '@figmount/base'
import { ApplyResponseSchema, DrainResponseSchema, ExplainResponseSchema, GetResponseSchema, HistoryResponseSchema } from '@figmount/schema'

import { RouterEvent } from '../events.js'
import { applyItem, configItemOf } from './applyItem.js'
import { authenticateOperator } from './authenticateOperator.js'
import { describeStatus } from './describeStatus.js'
import { explainRequest, followEvents } from './followEvents.js'

import type { HandlerContext, ServiceImpl } from '@connectrpc/connect'
import type { EventLog, Fault, InstanceName, TimerService } from '@figmount/base'
import type { ItemName, RecordsClient } from '@figmount/records'
import type { ApplyOutcome, ApplyRequest, ApplyResponse, DrainRequest, DrainResponse, GetRequest, GetResponse, HistoryRequest, HistoryResponse, Operator } from '@figmount/schema'
import type { OperatorKey } from '../settings/types.js'
import type { StatusSources } from './describeStatus.js'

interface Options {
  readonly records: RecordsClient
  readonly events: EventLog
  readonly timers: TimerService
  readonly operatorKeys: readonly OperatorKey[]
  readonly status: StatusSources
  /** Aborts when the router stops, which ends event streams. */
  readonly stopping: AbortSignal
}

/** Maximum number of items in one apply; each requires an append to the log. */
const MAX_ITEMS = 500

const errorOf = (fault: Fault): ConnectError =>
  new ConnectError(describeFault(fault), fault.kind === FaultKind.Timeout ? Code.DeadlineExceeded : Code.Unavailable)

const applyAll = async ({ records, events }: Options, operatorName: string, request: ApplyRequest): Promise<ApplyResponse> => {
  if (request.items.length > MAX_ITEMS) throw new ConnectError(`operators.apply: more than ${MAX_ITEMS} items`, Code.InvalidArgument)
  const outcomes: ApplyOutcome[] = []
  for (const change of request.items) {
    const result = await applyItem({ records, events, operatorName, changeId: request.changeId, change }).run()
    // The write may have taken effect. The operator can resend it with the same change id to find out.
    if (result.isLeft()) throw errorOf(result.swap().unsafeCoerce())
    outcomes.push(result.unsafeCoerce())
  }
  return create(ApplyResponseSchema, { outcomes })
}

const getItems = ({ records }: Options, { name }: GetRequest): GetResponse => {
  const items = [...records.state().items.values()].filter(version => name === '' || version.item === name)
  return create(GetResponseSchema, { items: items.map(configItemOf) })
}

const getHistory = ({ records }: Options, { name }: HistoryRequest): HistoryResponse => {
  const { items, history } = records.state()
  const item = name as ItemName
  const versions = [...(history.get(item) ?? []), items.get(item)].flatMap(version => version ? [version] : [])
  return create(HistoryResponseSchema, { items: versions.map(configItemOf) })
}

const drain = async ({ records, events }: Options, operatorName: string, request: DrainRequest): Promise<DrainResponse> => {
  const result = await records.append({
    kind: 'drain.set', instance: request.instance as InstanceName, draining: !request.undo, operatorName
  }).run()
  if (result.isLeft()) throw errorOf(result.swap().unsafeCoerce())
  const { outcome, offset } = result.unsafeCoerce()
  if (!outcome.applied) return create(DrainResponseSchema, { accepted: false, detail: outcome.reason })
  events.emit(RouterEvent.drainAccepted, { peer: request.instance, offset, detail: operatorName, reason: request.undo ? 'undone' : 'drain' })
  return create(DrainResponseSchema, { accepted: true })
}

/** Implements the RPC service for operators. */
export const createOperator = (options: Options): ServiceImpl<typeof Operator> => {
  const { events, timers } = options
  const authenticate = (handler: HandlerContext): string => authenticateOperator(options.operatorKeys, events, handler)
  return {
    apply: async (request, handler) => await applyAll(options, authenticate(handler), request),
    get: (request, handler) => {
      authenticate(handler)
      return getItems(options, request)
    },
    history: (request, handler) => {
      authenticate(handler)
      return getHistory(options, request)
    },
    status: (_request, handler) => {
      authenticate(handler)
      options.status.linkUnknownAgents()
      return describeStatus(options.status)
    },
    drain: async (request, handler) => await drain(options, authenticate(handler), request),
    explain: (request, handler) => {
      authenticate(handler)
      return create(ExplainResponseSchema, { events: [...explainRequest(events, request)] })
    },
    events: (request, handler) => {
      authenticate(handler)
      return followEvents({ events, timers, request, signal: handler.signal, stopping: options.stopping })
    }
  }
}
