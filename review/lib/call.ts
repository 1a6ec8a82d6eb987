import { request as httpRequest } from 'node:http'

import type { Agent } from 'node:http'

/** A caller's request. */
export interface Call {
  readonly path: string
  readonly requestId: string
  readonly deadlineMs: number
  readonly method?: string
  readonly body?: string
  readonly headers?: Readonly<Record<string, string>>
  /** Time without a byte of the answer after which the caller leaves. */
  readonly patienceMs?: number
  readonly agent?: Agent
}

/** What the caller got. Status 0: no answer. */
export interface Answer {
  readonly status: number
  readonly seal: string
  readonly body: string
  /** The answer came to its marked end. */
  readonly isWhole: boolean
  readonly tookMs: number
}

/** Sends a request and resolves with what came back. */
export const call = async (address: string, { path, requestId, deadlineMs, method = 'POST', body = '', headers = {}, patienceMs, agent }: Call): Promise<Answer> =>
  await new Promise(resolve => {
    const [host = '', port = ''] = address.split(':')
    const startedMs = performance.now()
    let status = 0
    let seal = ''
    let text = ''
    const request = httpRequest({
      host,
      port: Number(port),
      method,
      path,
      agent: agent ?? false,
      headers: { host: 'site.example', 'request-id': requestId, 'deadline-ms': String(deadlineMs), ...headers }
    })
    let patience: NodeJS.Timeout | undefined
    const waitOn = (): void => {
      clearTimeout(patience)
      if (patienceMs !== undefined) patience = setTimeout(() => request.destroy(), patienceMs)
    }
    const finish = (isWhole: boolean): void => {
      clearTimeout(patience)
      resolve({ status, seal, body: text, isWhole, tookMs: Math.round(performance.now() - startedMs) })
    }
    waitOn()
    request.once('response', message => {
      status = message.statusCode ?? 0
      seal = String(message.headers['server-seal'] ?? '')
      message.on('data', chunk => {
        text += String(chunk)
        waitOn()
      })
      message.once('end', () => finish(message.complete))
      message.once('error', () => finish(false))
    })
    request.once('error', () => finish(false))
    request.once('close', () => finish(false))
    request.end(body)
  })
