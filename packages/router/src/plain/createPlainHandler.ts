import { Left } from 'purify-ts'
import { BaseEvent } from '@figmount/base'
import { RefusalReason } from '@figmount/schema'

import { authenticateCaller } from '../callers/admitRequest.js'
import { openRequest } from '../callers/openRequest.js'
import { notRun } from '../requests/refusals.js'
import { admitPlain, isRepeatable, splitPath } from './admitPlain.js'
import { sendRefusal, forwardAnswer } from './answerPlain.js'
import { PLAIN_PREFIX, PlainHeader } from './constants.js'

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Either } from 'purify-ts'
import type { RefusalNote } from '@figmount/peers'
import type { Gate } from '../callers/createGate.js'
import type { AdmittedRequest, ServeContext } from '../requests/types.js'
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

const disconnectSignal = (response: ServerResponse): AbortSignal => {
  const abort = new AbortController()
  response.once('close', () => { if (!response.writableEnded) abort.abort() })
  return abort.signal
}

const methodOf = (request: IncomingMessage): string => request.method ?? 'GET'

const urlOf = (request: IncomingMessage): string => request.url ?? PLAIN_PREFIX

const resendCountOf = (request: IncomingMessage): number => Number(request.headers[PlainHeader.resendCount] ?? 0) || 0

const tooLargeRefusal = (maxBytes: number): RefusalNote =>
  notRun({ reason: RefusalReason.INVALID, detail: `the body is larger than ${maxBytes} bytes`, step: 'plain.read' })

// Authentication and the admission gate come before the body is read, so that a burst of large calls
// does not use up memory.
const admit = async ({ context, limits }: Options, request: IncomingMessage): Promise<Either<RefusalNote, AdmittedRequest>> => {
  const state = context.records.state()
  const caller = authenticateCaller(state, request.headers.authorization ?? null)
  if (caller.isLeft()) return Left(caller.swap().unsafeCoerce())
  const body = await readBody(request, limits.prompt_bytes)
  if (!body) return Left(tooLargeRefusal(limits.prompt_bytes))
  const call = { method: methodOf(request), url: urlOf(request), headers: request.headers, body }
  const options = { state, limits, nowMs: context.timers.nowMs(), unixMs: context.timers.unixMs() }
  return caller.chain(known => admitPlain(options, known, call))
}

const serve = async (options: Options, request: IncomingMessage, response: ServerResponse): Promise<void> => {
  const parts = openRequest({
    context: options.context,
    gate: options.gate,
    admit: async () => await admit(options, request),
    fields: { service: splitPath(urlOf(request)).service, repeatable: isRepeatable({ method: methodOf(request), headers: request.headers }) },
    resendCount: resendCountOf(request),
    signal: disconnectSignal(response)
  })
  for await (const part of parts) {
    if (part.kind === 'refusal') return sendRefusal(response, part.note)
    if (part.kind === 'final' && part.plain) return forwardAnswer(response, part.plain)
  }
}

/** Creates the HTTP handler for calls to plain services; it returns false for any other path. */
export const createPlainHandler = (options: Options) => (request: IncomingMessage, response: ServerResponse): boolean => {
  if (!request.url?.startsWith(PLAIN_PREFIX)) return false
  serve(options, request, response).catch((error: Error) => {
    options.context.events.emit(BaseEvent.badInput, { step: 'plain.serve', reason: error.message })
    response.destroy()
  })
  return true
}
