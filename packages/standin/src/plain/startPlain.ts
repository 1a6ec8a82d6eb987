import { serveRpc, sleep } from '@figmount/base'
import * as z from 'zod'

import { handleControl, readBody } from '../control/handleControl.js'
import { StandinEvent } from '../events.js'

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { StartedStandin } from '../control/types.js'
import type { StandinContext } from '../settings/types.js'
import type { PlainSettings } from './settings.js'

/** Header whose value the calls are counted by. */
export const REQUEST_KEY_HEADER = 'figmount-request-key'

const MAX_BODY_BYTES = 4 * 1024 * 1024

const commandSchema = z.discriminatedUnion('action', [
  z.strictObject({ action: z.literal('slow'), delayMs: z.number().min(0) }),
  /** The next `count` calls are executed, but their connections are closed before the answer. */
  z.strictObject({ action: z.literal('lose'), count: z.number().int().min(0) }),
  /** From now on answers have neither length nor chunks, and pause after their first half. */
  z.strictObject({ action: z.literal('unframe'), pauseMs: z.number().min(0) })
])

/** Has the answer end with its connection. */
const omitFraming = (response: ServerResponse): void => {
  response.useChunkedEncodingByDefault = false
  response.shouldKeepAlive = false
}

/** Starts a plain HTTP service whose answers contain the number of calls with the same request key. */
export const startPlain = async (context: StandinContext<PlainSettings>): Promise<StartedStandin> => {
  const { settings, timers, events, metrics } = context
  const callCounts = new Map<string, number>()
  let delayMs = settings.delay_ms
  let loseCount = 0
  let unframedPauseMs: number | undefined

  const answer = async (response: ServerResponse, body: string): Promise<void> => {
    if (unframedPauseMs === undefined) {
      response.end(body)
      return
    }
    const half = body.length / 2
    omitFraming(response)
    response.write(body.slice(0, half))
    await sleep(timers, unframedPauseMs)
    response.end(body.slice(half))
  }

  const serve = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const body = await readBody(request, MAX_BODY_BYTES)
    const key = String(request.headers[REQUEST_KEY_HEADER] ?? '')
    const count = (callCounts.get(key) ?? 0) + 1
    callCounts.set(key, count)
    events.emit(StandinEvent.plainCalled, { requestKey: key, count, detail: `${request.method} ${request.url}` })
    await sleep(timers, delayMs)
    if (loseCount > 0) {
      loseCount -= 1
      request.socket.destroy()
      return
    }
    response.statusCode = 200
    response.setHeader('content-type', 'application/json')
    response.setHeader('figmount-call-count', String(count))
    await answer(response, JSON.stringify({ key, count, method: request.method, path: request.url, bodyBytes: body?.length ?? 0 }))
  }

  const run = (input: unknown): unknown => {
    const command = commandSchema.parse(input)
    events.emit(StandinEvent.controlChanged, { detail: JSON.stringify(command) })
    if (command.action === 'slow') delayMs = command.delayMs
    if (command.action === 'lose') loseCount = command.count
    if (command.action === 'unframe') unframedPauseMs = command.pauseMs
    return {}
  }

  const control = handleControl({ dump: () => ({ delayMs, loseCount, callCounts: Object.fromEntries(callCounts) }), run })
  const server = await serveRpc({
    context,
    host: context.host,
    port: context.port,
    metrics,
    routes: () => {},
    handlePlain: (request, response) => {
      if (control(request, response)) return true
      serve(request, response)
      return true
    }
  })
  return { address: server.address, stop: server.close }
}
