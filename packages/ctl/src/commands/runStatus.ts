import { EitherAsync } from 'purify-ts'
import { faultFrom } from '@figmount/base'

import { renderJson } from '../output/renderJson.js'
import { renderMetrics, renderStatus } from '../status/renderStatus.js'

import type { Fault } from '@figmount/base'
import type { CommandContext, CommandResult } from './types.js'

/** Shows log, instances and replicas, or the router's metrics; resolves to true if the router can reach the log. */
export const runStatus = (context: CommandContext, withMetrics: boolean): CommandResult =>
  context.client.call('ctl.status', async rpc => await rpc.status({})).map(status => {
    if (context.json) context.print(renderJson(status))
    else context.print(withMetrics ? renderMetrics(status) : renderStatus(status))
    return status.logReachable
  })

/** Drains an instance, or cancels its drain. */
export const runDrain = (context: CommandContext, instance: string, undo: boolean): CommandResult =>
  context.client.call('ctl.drain', async rpc => await rpc.drain({ instance, undo })).map(response => {
    context.print(context.json ? renderJson(response) : `${instance}: ${response.accepted ? 'accepted' : 'NOT accepted'} ${response.detail}`)
    return response.accepted
  })

/** Prints the events of one request from all reachable routers, for example to see why it was refused. */
export const runExplain = (context: CommandContext, requestKey: string, caller: string): CommandResult =>
  context.client.callEach('ctl.explain', async rpc => await rpc.explain({ requestKey, caller })).map(responses => {
    const events = responses.flatMap(response => response.events)
    if (events.length === 0) context.print(`no reachable router has events of request ${requestKey}`)
    for (const event of events) context.print(event.json)
    return events.length > 0
  })

/** Prints a router's events as they occur, until interrupted. */
export const runEvents = (context: CommandContext, requestKey: string, model: string): CommandResult =>
  context.client.call('ctl.events', async rpc => await Promise.resolve(rpc.events({ requestKey, model })))
    .chain(stream => EitherAsync<Fault, boolean>(async ({ throwE }) => {
      try {
        for await (const event of stream) context.print(event.json)
        return true
      } catch (error) {
        return throwE(faultFrom('ctl.events', '')(error))
      }
    }))
