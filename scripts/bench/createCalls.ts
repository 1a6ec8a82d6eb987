import { randomUUID } from 'node:crypto'
import { request as httpRequest } from 'node:http'
import { createClient } from '@connectrpc/connect'
import { createTimerService, createTransport } from '@figmount/base'
import { callerKey } from '@figmount/proof'
import { Engine, Inference } from '@figmount/schema'

import { MODEL, SERVICE } from './constants.js'

import type { Site } from '@figmount/proof'
import type { Call } from './timeCalls.js'

const CALLER = 'crew'
const DEADLINE_MS = 20_000

const timers = createTimerService()

interface HttpPlan {
  readonly path: string
  readonly method: 'GET' | 'POST'
  readonly body?: string
}

const sendHttp = async (address: string, { path, method, body = '' }: HttpPlan): Promise<string> => await new Promise((resolve, reject) => {
  const headers = { 'content-type': 'application/json', authorization: `Bearer ${callerKey(CALLER)}` }
  const request = httpRequest(`http://${address}${path}`, { method, headers }, response => {
    let text = ''
    response.setEncoding('utf8')
    response.on('data', chunk => { text += String(chunk) })
    response.on('end', () => {
      if (response.statusCode === 200) resolve(text)
      else reject(new Error(`${path} returned status ${response.statusCode}: ${text}`))
    })
  })
  request.on('error', reject)
  request.end(body)
})

const expectCount = (actual: number, expected: number, source: string): void => {
  if (actual !== expected) throw new Error(`${source} returned ${actual} tokens, expected ${expected}`)
}

const makeRequestFields = (maxTokens: number) => ({
  requestKey: randomUUID(), deadlineMs: DEADLINE_MS, repeatable: true, service: SERVICE, model: MODEL, prompt: randomUUID(), maxTokens
}) as const

/** The kinds of call to one site; every call has a new prompt. */
export interface Calls {
  /** The callers' streaming RPC, through router and agent. */
  readonly stream: (maxTokens: number) => Call
  /** The same request with the answer as one JSON message. */
  readonly whole: (maxTokens: number) => Call
  /** The engine's own RPC, bypassing figmount. */
  readonly engine: (maxTokens: number) => Call
  /** A plain HTTP request to the router. */
  readonly healthz: Call
}

/** Creates the calls; they reuse their RPC clients and connections. */
export const createCalls = (site: Site): Calls => {
  const router = site.router('r1').address
  const inference = createClient(Inference, createTransport({ address: router, bearerKey: callerKey(CALLER) }))
  const engine = createClient(Engine, createTransport({ address: site.backend('a1').address }))
  return {
    stream: maxTokens => async () => {
      let count = 0
      for await (const { body } of inference.infer({ ...makeRequestFields(maxTokens), issuedAtMs: BigInt(timers.unixMs()) })) {
        if (body.case === 'refusal') throw new Error(`refused: ${body.value.detail}`)
        if (body.case === 'tokens') count += body.value.tokens.length
      }
      expectCount(count, maxTokens, 'the stream')
    },
    whole: maxTokens => async () => {
      const body = JSON.stringify({ ...makeRequestFields(maxTokens), issuedAtMs: String(timers.unixMs()) })
      const answer = JSON.parse(await sendHttp(router, { path: '/figmount.v1.Inference/InferWhole', method: 'POST', body })) as { readonly final?: { readonly tokenCount: number } }
      expectCount(answer.final?.tokenCount ?? 0, maxTokens, 'InferWhole')
    },
    engine: maxTokens => async () => {
      let count = 0
      for await (const { tokens } of engine.generate({ streamId: randomUUID(), model: `${SERVICE}/${MODEL}`, version: 'v1', prompt: randomUUID(), maxTokens })) count += tokens.length
      expectCount(count, maxTokens, 'the engine')
    },
    healthz: async () => { await sendHttp(router, { path: '/healthz', method: 'GET' }) }
  }
}
