import { Agent, request as httpRequest } from 'node:http'
import { FaultKind, faultFrom, Framing, framingOf, isFinalStatus, makeFault, watchReset } from '@figmount/base'

import { isConnectFailure } from '../engine/engineFaults.js'
import { CONNECT_TIMEOUT_MS, HOP_BY_HOP_HEADERS, IDLE_SOCKET_MS, MAX_ANSWER_BYTES, POOLED_SILENCE_MS } from './constants.js'
import { isAnswering } from './isAnswering.js'

import type { ClientRequest, IncomingMessage } from 'node:http'
import type { Fault, TimerService } from '@figmount/base'
import type { PlainAnswer, PlainCall } from '@figmount/peers'

/** How one call to a plain service ended. `sent`: a byte of it may have been sent. */
export type CallEnd =
  | { readonly kind: 'answered', readonly answer: PlainAnswer }
  | { readonly kind: 'failed', readonly sent: boolean, readonly fault: Fault }

interface CallOptions {
  readonly call: PlainCall
  readonly repeatable: boolean
  readonly signal: AbortSignal
  readonly onSent: () => void
}

/** Forwards a call to a plain service. */
export type CallPlain = (options: CallOptions) => Promise<CallEnd>

type Headers = PlainCall['headers']

const headersOf = (call: PlainCall): Record<string, string | string[]> => {
  const headers: Record<string, string | string[]> = {}
  for (const [name, value] of call.headers) {
    const key = name.toLowerCase()
    if (HOP_BY_HOP_HEADERS.has(key)) continue
    const known = headers[key]
    headers[key] = known === undefined ? value : [...(Array.isArray(known) ? known : [known]), value]
  }
  headers['content-length'] = String(call.body.length)
  return headers
}

const answerHeaders = (response: IncomingMessage): Headers => {
  const pairs: Array<readonly [string, string]> = []
  for (let index = 0; index + 1 < response.rawHeaders.length; index += 2) {
    const [name = '', value = ''] = response.rawHeaders.slice(index, index + 2)
    if (!HOP_BY_HOP_HEADERS.has(name.toLowerCase())) pairs.push([name, value])
  }
  return pairs
}

const readBody = async (response: IncomingMessage): Promise<Uint8Array> => {
  const parts: Buffer[] = []
  let sizeBytes = 0
  for await (const part of response as AsyncIterable<Buffer>) {
    sizeBytes += part.length
    if (sizeBytes > MAX_ANSWER_BYTES) throw new Error(`answer above ${MAX_ANSWER_BYTES} bytes`)
    parts.push(part)
  }
  return Buffer.concat(parts)
}

/**
 * Creates the function that calls one plain service over Node's `http`.
 *
 * An idle pooled connection may have gone silent: a call on it would hang, and whether it ran would be unknown. Calls
 * that are not repeatable therefore never use a pooled connection. Repeatable ones do, and are sent again over a new
 * connection if a reused one returns nothing.
 *
 * The system closes the connections of a killed process in order. An answer that is delimited by its connection
 * therefore counts as whole only if the service answers again at once; the new process after a restart takes longer.
 */
export const createCallPlain = (address: string, timers: TimerService): CallPlain => {
  const pool = new Agent({ keepAlive: true, timeout: IDLE_SOCKET_MS })
  const single = new Agent({ keepAlive: false })
  const [host = '', portText = ''] = address.split(':')
  const fail = faultFrom('plain.call', address)

  const mustBeWhole = async (response: IncomingMessage, wasReset: () => boolean, { call, signal }: CallOptions): Promise<void> => {
    if (framingOf(response, call.method) !== Framing.Connection) return
    // Node marks the answer as complete after a reset, too.
    if (!response.socket.readableEnded || wasReset()) throw new Error('connection reset in an answer without a length')
    if (!await isAnswering(address, timers, signal)) throw new Error('the service does not answer after an answer without a length')
  }

  const callOnce = async (options: CallOptions, agent: Agent): Promise<CallEnd & { readonly onReused: boolean }> => {
    const { call, signal, onSent } = options
    let sent = false
    let request: ClientRequest | undefined
    let stopWatching = (): void => {}
    const isReused = (): boolean => request?.reusedSocket ?? false
    try {
      const response = await new Promise<IncomingMessage>((resolve, reject) => {
        const opened = httpRequest({ host, port: Number(portText), method: call.method, path: call.path, headers: headersOf(call), agent, signal })
        request = opened
        opened.once('response', resolve)
        opened.on('error', reject)
        opened.once('socket', socket => {
          const write = (): void => {
            sent = true
            onSent()
            opened.end(call.body)
            if (opened.reusedSocket) stopWatching = timers.after(POOLED_SILENCE_MS, () => opened.destroy(new Error('pooled connection is silent')))
          }
          if (!socket.connecting) return write()
          stopWatching = timers.after(CONNECT_TIMEOUT_MS, () => {
            if (!sent) opened.destroy(new Error('ECONNREFUSED: no connection in time'))
          })
          socket.once('connect', () => {
            stopWatching()
            write()
          })
        })
      })
      stopWatching()
      const { statusCode = 0 } = response
      if (!isFinalStatus(statusCode)) throw new Error(`status ${statusCode}`)
      const wasReset = framingOf(response, call.method) === Framing.Connection ? watchReset(response.socket) : () => false
      const body = await readBody(response)
      await mustBeWhole(response, wasReset, options)
      return { kind: 'answered', answer: { status: statusCode, headers: answerHeaders(response), body }, onReused: isReused() }
    } catch (thrown) {
      stopWatching()
      request?.destroy()
      return { kind: 'failed', sent, fault: fail(thrown), onReused: isReused() }
    }
  }

  return async options => {
    if (!options.repeatable) return await callOnce(options, single)
    const end = await callOnce(options, pool)
    if (end.kind === 'answered' || !end.onReused || options.signal.aborted) return end
    return await callOnce(options, single)
  }
}

/** The fault of an attempt for a plain service that contains no HTTP call. */
export const missingCallFault = (address: string): Fault => makeFault(FaultKind.Invalid, 'plain.call', address, 'the request carries no HTTP call')

/** True if the service's address refuses connections. */
export const isServiceDown = (fault: Fault): boolean => isConnectFailure(fault)
