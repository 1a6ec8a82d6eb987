import { BaseEvent } from '@figmount/base'
import { RefusalReason } from '@figmount/schema'

import { authenticateCaller } from '../callers/admitRequest.js'
import { openRequest } from '../callers/openRequest.js'
import { notRun } from '../requests/refusals.js'
import { admitPlain, isRepeatable, splitPath } from './admitPlain.js'
import { answerRefusal, passAnswer } from './answerPlain.js'
import { PLAIN_PREFIX, PlainHeader } from './constants.js'

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Gate } from '../callers/createGate.js'
import type { ServeContext } from '../requests/types.js'
import type { RouterSettings } from '../settings/types.js'

interface Options {
  readonly context: ServeContext
  readonly gate: Gate
  readonly limits: RouterSettings['limits']
}

/** Reads a body of at most `maxBytes`; undefined if it is larger. */
const readBody = async (request: IncomingMessage, maxBytes: number): Promise<Uint8Array | undefined> => {
  const chunks: Buffer[] = []
  let sizeBytes = 0
  for await (const chunk of request as AsyncIterable<Buffer>) {
    sizeBytes += chunk.length
    if (sizeBytes > maxBytes) return undefined
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}

const leaveSignal = (response: ServerResponse): AbortSignal => {
  const abort = new AbortController()
  response.once('close', () => { if (!response.writableEnded) abort.abort() })
  return abort.signal
}

const resendCountOf = (request: IncomingMessage): number => Number(request.headers[PlainHeader.resendCount] ?? 0) || 0

const serve = async ({ context, gate, limits }: Options, request: IncomingMessage, response: ServerResponse): Promise<void> => {
  const signal = leaveSignal(response)
  const body = await readBody(request, limits.prompt_bytes)
  if (!body) return answerRefusal(response, notRun({ reason: RefusalReason.INVALID, detail: `the body is larger than ${limits.prompt_bytes} bytes`, step: 'plain.read' }))
  const call = { method: request.method ?? 'GET', url: request.url ?? PLAIN_PREFIX, headers: request.headers, body }
  const parts = openRequest({
    context,
    gate,
    admit: () => {
      const state = context.records.state()
      const options = { state, limits, nowMs: context.timers.nowMs(), unixMs: context.timers.unixMs() }
      return authenticateCaller(state, request.headers.authorization ?? null).chain(caller => admitPlain(options, caller, call))
    },
    fields: { service: splitPath(call.url).service, repeatable: isRepeatable(call) },
    resendCount: resendCountOf(request),
    signal
  })
  for await (const part of parts) {
    if (part.kind === 'refusal') return answerRefusal(response, part.note)
    if (part.kind === 'final' && part.plain) return passAnswer(response, part.plain)
  }
}

/** Takes calls to plain services; false for any other path. */
export const createPlainHandler = (options: Options) => (request: IncomingMessage, response: ServerResponse): boolean => {
  if (!request.url?.startsWith(PLAIN_PREFIX)) return false
  serve(options, request, response).catch((error: Error) => {
    options.context.events.emit(BaseEvent.badInput, { step: 'plain.serve', reason: error.message })
    response.destroy()
  })
  return true
}
