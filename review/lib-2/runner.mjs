/**
 * A stand-in runner in a process of its own: a plain one, or a model engine with orders and streams. Its settings are the first argument, as
 * JSON. It prints one JSON line for each thing that it does. It does not answer a request whose path holds `deadly`: whoever reads its lines ends it.
 */
import { request as httpRequest, createServer } from 'node:http'
import { buffer } from 'node:stream/consumers'

const settings = JSON.parse(process.argv[2])
const { id, host, port, listedAddress, service, version, zone, store, heartbeatMs, firstBeatMs = 0, slots, engine, unframedHalvesMs, workMs = 0 } = settings
const born = Date.now()
let beating
let beats = 0
let sequence = 0
let isBusy = false
let runningCount = 0
const held = new Map((engine?.models ?? []).map(name => [name, new Set()]))
const onDisk = new Set([...(engine?.models ?? []), ...(engine?.disk ?? [])])
const coming = new Set()

const print = line => { process.stdout.write(`${JSON.stringify({ atMs: Date.now(), id, born, version, ...line })}\n`) }

const listModels = () => [...held].map(([name, adapters]) => ({ name, version: 1, adapters: [...adapters] }))

const writeEntry = () => {
  beats += 1
  const entry = {
    service, address: listedAddress, zone, version, slots, state: 'ready', 'cold-remaining-ms': 0, sequence: beats, born, ...(engine ? { models: listModels() } : {})
  }
  const [storeHost, storePort] = store.split(':')
  const request = httpRequest({ host: storeHost, port: Number(storePort), method: 'POST', path: `/runner-entry?id=${id}`, agent: false }, answer => { answer.resume() })
  request.on('error', () => {})
  request.end(JSON.stringify(entry))
}

const report = () => ({
  stage: 'both',
  state: 'ready',
  models: listModels(),
  coming: [...coming].map(key => `${key}@1`),
  busy: isBusy,
  sequence,
  born,
  waiting: 0,
  running: runningCount,
  'kv-used': 0,
  'kv-total': 90_000,
  handles: 0,
  runs: [],
  'at-hand': { 'in-memory': [], 'on-disk': [...onDisk] }
})

const beginLoad = (model, adapter) => {
  if (adapter === undefined) {
    isBusy = true
    setTimeout(() => {
      isBusy = false
      held.set(model, new Set())
      onDisk.add(model)
      print({ what: 'loaded', model })
    }, onDisk.has(model) ? engine.diskMs : engine.coldMs)
    return
  }
  coming.add(`${model}/${adapter}`)
  setTimeout(() => {
    coming.delete(`${model}/${adapter}`)
    held.get(model)?.add(adapter)
  }, engine.adapterMs)
}

const carryOut = ({ operation, model, adapter, expect, holder, 'fence-token': fence }) => {
  if (holder === undefined || fence === undefined) return 400
  if (isBusy || (expect !== undefined && expect !== sequence)) return 409
  sequence += 1
  print({ what: 'order', operation, model, adapter, expect, holder })
  if (operation === 'load') beginLoad(model, adapter)
  else if (adapter === undefined) held.delete(model)
  else held.get(model)?.delete(adapter)
  return 202
}

const sendEvents = (message, response, { model, total }) => {
  const requestId = message.headers['request-id']
  let next = Number(message.headers['last-event-id'] ?? 0) + 1
  print({ what: 'run', requestId, model, from: next })
  runningCount += 1
  response.writeHead(200, { 'Request-Id': requestId, 'Server-Seal': `seal.${id}.${born}`, 'Content-Type': 'text/event-stream', 'Weight-Versions': '1' })
  const timer = setInterval(() => {
    response.write(`id: ${next}\ndata: piece ${next} of ${requestId} by software ${version} of ${id}\n\n`)
    if (next === total) {
      clearInterval(timer)
      response.end()
    }
    next += 1
  }, engine.eventMs)
  response.once('close', () => {
    clearInterval(timer)
    runningCount -= 1
  })
}

const answerPlain = (message, response, body) => {
  const requestId = message.headers['request-id']
  const text = `answer to ${requestId}: it begins here, goes on here, and ends here`
  const middle = Math.floor(text.length / 2)
  print({ what: 'run', requestId, path: message.url, body: body.length })
  if (message.url.includes('deadly')) {
    print({ what: 'dies', requestId })
    return
  }
  if (unframedHalvesMs !== undefined) {
    // Neither a length nor chunks: the answer ends with its connection.
    response.shouldKeepAlive = false
    response.useChunkedEncodingByDefault = false
  }
  if (unframedHalvesMs === undefined) {
    setTimeout(() => { response.writeHead(200, { 'Request-Id': requestId, 'Server-Seal': `seal.${id}.${born}` }).end(text) }, workMs)
    return
  }
  response.writeHead(200, { 'Request-Id': requestId, 'Server-Seal': `seal.${id}.${born}` })
  response.write(text.slice(0, middle))
  setTimeout(() => { response.end(text.slice(middle)) }, unframedHalvesMs)
}

const handle = async (message, response) => {
  const body = (await buffer(message)).toString()
  const requestId = message.headers['request-id']
  const expected = message.headers['expect-instance']
  if (expected !== undefined && expected !== id) {
    response.writeHead(421, { ...(requestId === undefined ? {} : { 'Request-Id': requestId }), 'Not-Executed': '1' }).end()
    return
  }
  if (message.url === '/health') {
    response.writeHead(200, { 'Instance-Id': id }).end()
    return
  }
  if (engine && message.url === '/-/report') {
    response.writeHead(200, { 'Content-Type': 'application/json' }).end(JSON.stringify(report()))
    return
  }
  if (engine && message.url === '/-/order') {
    response.writeHead(carryOut(JSON.parse(body))).end()
    return
  }
  if (!engine) return answerPlain(message, response, body)
  const [model, adapter] = (message.headers.model ?? '').split('/')
  const isHeld = adapter === undefined ? held.has(model) : held.get(model)?.has(adapter)
  if (!isHeld) {
    response.writeHead(421, { 'Request-Id': requestId, 'Not-Executed': '1' }).end()
    return
  }
  sendEvents(message, response, { model, total: Number(message.headers['token-count'].split(',')[1]) })
}

const server = createServer((message, response) => { handle(message, response).catch(() => response.destroy()) })
server.keepAliveTimeout = 20_000
const listen = () => {
  server.once('error', () => { setTimeout(listen, 20) })
  server.listen(port, host, () => {
    print({ what: 'started', address: `${host}:${server.address().port}` })
    setTimeout(() => {
      writeEntry()
      beating = setInterval(writeEntry, heartbeatMs)
    }, firstBeatMs)
  })
}
listen()
// Taken away without a word: the platform removes its entry, and it goes on serving for a while.
process.on('SIGUSR1', () => { clearInterval(beating) })
process.on('disconnect', () => process.exit())
