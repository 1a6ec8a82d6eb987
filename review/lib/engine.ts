import { headerOf, listenOn, readBody } from './http.js'

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { ListedServer } from './listing.js'

/** A request that began to run on an engine. */
export interface SeenRun {
  readonly serverId: string
  readonly requestId: string
  readonly lastEventId: string
}

interface EngineOptions {
  readonly serverId: string
  readonly service: string
  readonly host: string
  readonly port?: number
  /** Version of the engine's software; each event names it. */
  readonly version: string
  readonly held: readonly string[]
  readonly onDisk: readonly string[]
  /** Time of a load from the engine's disk, and of one from the weight store. */
  readonly diskLoadMs: number
  readonly coldLoadMs: number
  readonly eventCount: number
  readonly eventPeriodMs: number
  readonly onRun: (run: SeenRun) => void
  /** Answers requests to models in place of a sound stream. */
  readonly answer?: (message: IncomingMessage, response: ServerResponse) => void
}

/** A model engine that answers, loads and reports as the platform's pages say. */
export interface Engine extends ListedServer {
  /** Ends the engine as a crash does: its connections are closed, and its address refuses new ones. */
  readonly crash: () => void
  /** Reports from now on that it leaves. */
  readonly drain: () => void
  /** Takes no more connections; closes those that serve no request, and the others after their answers. */
  readonly stopListening: () => void
}

interface Order {
  readonly operation: string
  readonly model: string
  readonly adapter?: string
  readonly expect?: number
  readonly holder?: string
  readonly 'fence-token'?: number
}

const ADAPTER_LOAD_MS = 5
const SLOTS = 64

/** Starts an engine on a loopback address. */
export const startEngine = async (options: EngineOptions): Promise<Engine> => {
  const { serverId, version } = options
  const held = new Map<string, Set<string>>(options.held.map(name => [name, new Set<string>()]))
  const onDisk = new Set([...options.held, ...options.onDisk])
  const born = Date.now()
  let isBusy = false
  let sequence = 0
  let runningCount = 0
  let isDead = false
  let isDraining = false

  const models = (): readonly object[] => [...held].map(([name, adapters]) => ({ name, version: 1, adapters: [...adapters] }))

  const report = (): object => ({
    stage: 'both',
    models: models(),
    coming: [],
    busy: isBusy,
    sequence,
    born,
    state: isDraining ? 'draining' : 'ready',
    waiting: 0,
    running: runningCount,
    'kv-used': 0,
    'kv-total': 250_000,
    handles: 0,
    runs: [],
    'at-hand': { 'in-memory': [], 'on-disk': [...onDisk] }
  })

  const loadAdapter = (model: string, adapter: string): number => {
    if (!held.has(model)) return 400
    setTimeout(() => held.get(model)?.add(adapter), ADAPTER_LOAD_MS)
    return 202
  }

  const changeModel = ({ operation, model }: Order): void => {
    isBusy = true
    const durationMs = operation === 'unload' ? 10 : onDisk.has(model) ? options.diskLoadMs : options.coldLoadMs
    setTimeout(() => {
      isBusy = false
      if (operation === 'unload') held.delete(model)
      else held.set(model, new Set())
      onDisk.add(model)
    }, durationMs)
  }

  const takeOrder = (order: Order): number => {
    if (order.holder === undefined || order['fence-token'] === undefined) return 400
    if (isBusy || (order.expect !== undefined && order.expect !== sequence)) return 409
    sequence += 1
    if (order.adapter === undefined) {
      changeModel(order)
      return 202
    }
    if (order.operation === 'load') return loadAdapter(order.model, order.adapter)
    held.get(order.model)?.delete(order.adapter)
    return 200
  }

  const sendEvents = (message: IncomingMessage, response: ServerResponse): void => {
    const lastEventId = headerOf(message, 'last-event-id')
    options.onRun({ serverId, requestId: headerOf(message, 'request-id'), lastEventId })
    runningCount += 1
    let next = Number(lastEventId || 0) + 1
    response.writeHead(200, {
      'Request-Id': headerOf(message, 'request-id'), 'Server-Seal': `seal-${serverId}`, 'Weight-Versions': '1', 'Content-Type': 'text/event-stream'
    })
    const timer = setInterval(() => {
      if (next > options.eventCount) return response.end()
      response.write(`id: ${next}\ndata: piece ${next} of ${version}\n\n`)
      next += 1
    }, options.eventPeriodMs)
    response.once('close', () => {
      clearInterval(timer)
      runningCount -= 1
    })
  }

  const turnAway = (message: IncomingMessage, response: ServerResponse): void => {
    response.writeHead(421, { 'Request-Id': headerOf(message, 'request-id'), 'Not-Executed': '1', 'Content-Length': '0' }).end()
  }

  const handle = async (message: IncomingMessage, response: ServerResponse): Promise<void> => {
    const body = await readBody(message)
    if (isDead) return
    if (message.url === '/health') {
      response.writeHead(isDraining ? 503 : 200, { 'Instance-Id': serverId, 'Content-Length': '0' }).end()
      return
    }
    if (message.url === '/-/report') {
      response.writeHead(200, { 'Content-Type': 'application/json' }).end(JSON.stringify(report()))
      return
    }
    const expected = headerOf(message, 'expect-instance')
    if (expected !== '' && expected !== serverId) return turnAway(message, response)
    if (message.url === '/-/order') {
      response.writeHead(takeOrder(JSON.parse(body.toString()) as Order), { 'Content-Length': '0' }).end()
      return
    }
    const [model = '', adapter = ''] = headerOf(message, 'model').split('/')
    const adapters = held.get(model)
    if (!adapters || (adapter !== '' && !adapters.has(adapter))) return turnAway(message, response)
    if (options.answer) options.answer(message, response)
    else sendEvents(message, response)
  }

  const { server, address } = await listenOn((message, response) => {
    handle(message, response).catch(() => { response.destroy() })
  }, options.host, options.port)
  return {
    serverId,
    service: options.service,
    address,
    version,
    slots: SLOTS,
    born,
    models,
    drain: () => { isDraining = true },
    stopListening: () => {
      server.close()
      server.closeIdleConnections()
    },
    crash: () => {
      isDead = true
      server.close()
      server.closeAllConnections()
    }
  }
}
