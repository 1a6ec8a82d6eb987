import { request as httpRequest } from 'node:http'
import { Left, Right } from 'purify-ts'
import { Framing, framingOf, makeFault, watchReset } from '@figmount/base'

import { boundInterimAnswers } from './boundInterimAnswers.js'
import { CONNECT_TIMEOUT_MS } from './constants.js'

import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { Either } from 'purify-ts'
import type { FaultKind, TimerService } from '@figmount/base'
import type { HeaderCodec } from '@figmount/fleet'
import type { ConnectionPool } from './createConnectionPool.js'
import type { OpenAnswer, OutboundRequest, SendFault } from './types.js'

/** Dependencies of a send. */
export interface SendContext {
  readonly pool: ConnectionPool
  readonly codec: HeaderCodec
  readonly timers: TimerService
}

const STEP = 'forwarding.send'

/**
 * Sends one request to one server and resolves with the head of its answer. Aborting the signal ends the exchange at any time, and the
 * server stops working on it.
 */
export const sendToServer = async (
  context: SendContext, outbound: OutboundRequest, signal: AbortSignal
): Promise<Either<SendFault, OpenAnswer>> => await new Promise(resolve => {
  const { pool, codec, timers } = context
  const [host = '', port = ''] = outbound.address.split(':')
  let isConnected = false
  let hasHead = false
  let isSettled = false

  const request = httpRequest({
    host,
    port: Number(port),
    method: outbound.method,
    path: outbound.url,
    headers: outbound.headers,
    agent: pool.agentFor(outbound.start),
    setHost: false
  })

  // Guards against a request that reaches its server long after its caller has left: while the server's instance is paused or the network
  // is cut, an orderly close is delivered only after the delayed bytes. A reset makes the system discard them, but it is sent only once. A
  // server that has the request therefore gets an orderly close, which is retransmitted until it arrives. A request that has completed
  // is destroyed already: its connection may serve the next one.
  const abort = (): void => {
    const { socket } = request
    const isInTransit = !hasHead && !request.destroyed && outbound.mayBeInTransit()
    if (isInTransit && socket && !socket.connecting) socket.resetAndDestroy()
    request.destroy()
  }

  const settle = (result: Either<SendFault, OpenAnswer>): void => {
    if (isSettled) return
    isSettled = true
    stopConnectTimer()
    stopHeadTimer()
    resolve(result)
  }

  const fail = (kind: FaultKind, message: string): void => {
    settle(Left({ fault: makeFault(kind, STEP, outbound.start.serverId, message), mayHaveRun: isConnected }))
    abort()
  }

  const takeAnswer = (message: IncomingMessage): void => {
    hasHead = true
    pool.noteAnswer(message)
    const answer = codec.decodeAnswer(message.rawHeaders)
    const framing = framingOf(message, outbound.method)
    const wasReset = framing === Framing.Connection ? watchReset(message.socket) : () => false
    settle(Right({ message, answer, framing, wasReset, abort }))
  }

  const noteConnected = (): void => {
    isConnected = true
    stopConnectTimer()
  }

  const takeSocket = (socket: Socket): void => {
    pool.noteUse(socket)
    socket.setNoDelay(true)
    if (!socket.connecting) return noteConnected()
    socket.once('connect', noteConnected)
  }

  // Guards against an instance that is off: connection attempts to it stay pending for minutes. Nothing was sent, so the request can go to
  // another server.
  const stopConnectTimer = timers.after(CONNECT_TIMEOUT_MS, () => { if (!isConnected) fail('timeout', 'no connection in time') })
  const stopHeadTimer = timers.after(outbound.headTimeoutMs, () => fail('timeout', 'no answer in time'))

  request.once('socket', takeSocket)
  request.once('response', takeAnswer)
  boundInterimAnswers(request, () => fail('unavailable', 'interim answers without end'))
  request.on('error', (error: Error) => fail('unavailable', error.message))
  request.once('close', () => fail('unavailable', 'connection closed'))
  signal.addEventListener('abort', () => {
    fail('timeout', 'given up')
    abort()
  }, { once: true })
  if (signal.aborted) return fail('timeout', 'given up')
  request.end(outbound.body.length > 0 ? outbound.body : undefined)
})
