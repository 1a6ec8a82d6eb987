import { request as httpRequest } from 'node:http'
import { Left, Right } from 'purify-ts'
import { Framing, framingOf, makeFault, watchReset } from '@figmount/base'

import { boundInterimAnswers } from './boundInterimAnswers.js'
import { checkHead } from './checkHead.js'
import { createListenerGuard } from './guardListener.js'
import { CONNECT_TIMEOUT_MS } from './constants.js'

import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { Either } from 'purify-ts'
import type { Fault, FaultKind, ReadBarrier, TimerService } from '@figmount/base'
import type { HeaderCodec } from '@figmount/fleet'
import type { ConnectionPool } from './createConnectionPool.js'
import type { OpenAnswer, OutboundRequest, SendFault } from './types.js'

/** Dependencies of a send. */
export interface SendContext {
  readonly pool: ConnectionPool
  readonly codec: HeaderCodec
  readonly timers: TimerService
  readonly reads: ReadBarrier
  /** Takes what a listener on a server's bytes has thrown. */
  readonly noteThrown: (fault: Fault) => void
}

const STEP = 'forwarding.send'

/**
 * Sends one request to one server and resolves with the head of its answer. Aborting the signal ends the exchange at any time, and the
 * server stops working on it.
 */
export const sendToServer = async (
  context: SendContext, outbound: OutboundRequest, signal: AbortSignal
): Promise<Either<SendFault, OpenAnswer>> => await new Promise(resolve => {
  const { pool, codec, timers, reads } = context
  const [host = '', port = ''] = outbound.address.split(':')
  let isConnected = false
  let isSent = false
  let hasHead = false
  let isSettled = false
  let answered: IncomingMessage | undefined

  const request = httpRequest({
    host,
    port: Number(port),
    method: outbound.method,
    path: outbound.url,
    headers: outbound.headers,
    agent: pool.agentFor(outbound.start, outbound.requestId),
    setHost: false
  })
  // Without a bound of its own the parser leaves lines out, the length of the body among them; the size of a head is bounded anyway.
  request.maxHeadersCount = 0

  // Guards against a request that reaches its server long after its caller has left: while the server's instance is paused or the network
  // is cut, an orderly close is delivered only after the delayed bytes. A reset makes the system discard them, but it is sent only once. A
  // server that has the request therefore gets an orderly close, which is retransmitted until it arrives. A request that has completed
  // is destroyed already: its connection may serve the next one.
  const abort = (): void => {
    const { socket } = request
    const isInTransit = isSent && !hasHead && !request.destroyed && outbound.mayBeInTransit()
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
    settle(Left({ fault: makeFault(kind, STEP, outbound.start.serverId, message), mayHaveRun: isSent, isMismatched: false }))
    abort()
  }

  const endThrown = (fault: Fault): void => {
    context.noteThrown(fault)
    fail('internal', fault.message)
    answered?.destroy(new Error(fault.message))
  }
  const guard = createListenerGuard(STEP, outbound.start.serverId, endThrown)

  const takeAnswer = (message: IncomingMessage): void => {
    hasHead = true
    answered = message
    const flaw = checkHead(message)
    if (flaw !== undefined) return fail('unavailable', `answer that can't be passed on: ${flaw}`)
    const { socket } = message
    pool.noteAnswer(message)
    const answer = codec.decodeAnswer(message.rawHeaders)
    const framing = framingOf(message, outbound.method)
    const wasReset = framing === Framing.Connection ? watchReset(socket) : () => false
    settle(Right({ message, answer, framing, socket, guard, wasReset, abort }))
  }

  const write = (): void => {
    if (isSettled) return
    isSent = true
    request.end(outbound.body.length > 0 ? outbound.body : undefined)
  }

  // Guards against a caller that leaves while the connection is opened, or while the process stands still: its request is written only
  // then.
  const writeWhenRead = (): void => {
    isConnected = true
    stopConnectTimer()
    if (!reads.isLate()) return write()
    reads.pass(signal).then(guard(write), () => {})
  }

  const takeSocket = (socket: Socket): void => {
    pool.noteUse(socket, outbound.requestId)
    socket.setNoDelay(true)
    if (socket.connecting) socket.once('connect', guard(writeWhenRead))
    else writeWhenRead()
  }

  // Guards against an instance that is off: connection attempts to it stay pending for minutes. Nothing was sent, so the request can go to
  // another server.
  const stopConnectTimer = timers.after(CONNECT_TIMEOUT_MS, () => { if (!isConnected) fail('timeout', 'no connection in time') })
  const stopHeadTimer = timers.after(outbound.headTimeoutMs, () => fail('timeout', 'no answer in time'))

  request.once('socket', guard(takeSocket))
  request.once('response', guard(takeAnswer))
  boundInterimAnswers(request, guard, () => fail('unavailable', 'interim answers without end'))
  request.on('error', guard((error: Error) => fail('unavailable', error.message)))
  request.once('close', guard(() => fail('unavailable', 'connection closed')))
  signal.addEventListener('abort', () => {
    fail('timeout', 'given up')
    abort()
  }, { once: true })
  if (signal.aborted) fail('timeout', 'given up')
})
