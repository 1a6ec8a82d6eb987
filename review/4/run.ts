import { readFileSync } from 'node:fs'

import { call } from '../lib/call.js'
import { ENGINE_SERVICE, modelHeaders, PLAIN_SERVICE, putConfig } from '../lib/config.js'
import { startEngine } from '../lib/engine.js'
import { headerOf, sleep, until } from '../lib/http.js'
import { listServer } from '../lib/listing.js'
import { encodeAnswer, startPlainServer } from '../lib/plainServer.js'
import { startStore } from '../lib/store.js'
import { commonFields, drawNetwork, hasTrouble, playCase } from '../lib/system.js'

import type { IncomingMessage, ServerResponse } from 'node:http'

/** Bytes a second that the faulty engine sends: a third of what a router's link of 1,000 Mbit/s carries. */
const ENDLESS_BYTES_PER_S = 40_000_000
const PIECE = Buffer.alloc(16_384, 'x')
const PIECE_PERIOD_MS = 5

/** A caller leaves a stream without an event after four times its objective of 2 s. */
const PATIENCE_MS = 8_000
const AUDIT_DEADLINE_MS = 13_000

const PLAY_MS = 14_000
const TROUBLE_AT_MS = 2_000
const LOOKUP_PERIOD_MS = 100
const READY_PERIOD_MS = 1_000

/** The route's timeout, and the time after it in which the answer is due. */
const TIMEOUT_MS = 2_500
const LATE_MS = 500
const WORK_MS = 40

const PAGE_BYTES = 4_096

await playCase('review/4/record.txt', async ({ start, note }) => {
  const address = drawNetwork()
  const agentPort = 18_100
  const store = await startStore(address(1))
  putConfig(store)

  let sentBytes = 0
  const answerWithoutEnd = (message: IncomingMessage, response: ServerResponse): void => {
    note(`the faulty engine begins the answer to ${headerOf(message, 'request-id')}`)
    response.writeHead(200, { 'Request-Id': headerOf(message, 'request-id'), 'Server-Seal': 'seal-e-two', 'Weight-Versions': '1', 'Content-Type': 'text/event-stream' })
    response.write('id: 1\ndata: piece 1\n\n')
    const beganMs = performance.now()
    let sent = 0
    const timer = setInterval(() => {
      const due = (performance.now() - beganMs) / 1_000 * ENDLESS_BYTES_PER_S
      while (sent < due && !response.writableNeedDrain) {
        response.write(PIECE)
        sent += PIECE.length
        sentBytes += PIECE.length
      }
    }, PIECE_PERIOD_MS)
    response.once('close', () => {
      clearInterval(timer)
      note('the connection to the faulty engine is closed')
    })
  }

  const engineOf = { service: ENGINE_SERVICE, version: 'v1', onDisk: [], diskLoadMs: 440, coldLoadMs: 6_000, eventCount: 42, eventPeriodMs: 25, onRun: () => {} }
  const engines = [
    await startEngine({ ...engineOf, serverId: 'e-one', host: address(21), held: ['m0'] }),
    await startEngine({ ...engineOf, serverId: 'e-two', host: address(22), held: ['m1'], ...(hasTrouble ? { answer: answerWithoutEnd } : {}) })
  ]
  const plain = await startPlainServer({
    serverId: 'r-one',
    service: PLAIN_SERVICE,
    host: address(1),
    take: ({ requestId, socket }, done) => {
      note(`r-one runs ${requestId}`)
      setTimeout(() => {
        socket.write(encodeAnswer('200 OK', requestId, { 'Server-Seal': `seal-${requestId}` }, 'a record'))
        done()
      }, WORK_MS)
    }
  })
  const unlist = [...engines, plain].map(server => listServer(store, server))
  for (const [index, engine] of engines.entries()) {
    const ip = engine.address.split(':')[0] ?? ''
    await start('agent', { ...commonFields(`side-${index}`, ip, agentPort, store.address, true), app: engine.address, service: ENGINE_SERVICE })
  }
  const [callers, ready] = [`${address(11)}:18080`, `${address(11)}:18081`]
  const router = await start('router', { ...commonFields('front-1', address(11), agentPort, store.address, true), listen: { front: callers, ready } })
  const audit = { path: '/audit/a', deadlineMs: AUDIT_DEADLINE_MS, patienceMs: PATIENCE_MS }
  await until(async () => (await call(callers, { path: '/draft/a', requestId: 'first', deadlineMs: 4_000, headers: modelHeaders('m0') })).status === 200, 'a first answer')
  await sleep(1_000)

  const beganMs = performance.now()
  const residentMb = (): number => Math.round(Number(readFileSync(`/proc/${router.child.pid}/statm`, 'utf8').split(' ')[1]) * PAGE_BYTES / 1_048_576)
  const tookMs: number[] = []
  const lookups: Array<Promise<void>> = []
  let missedReady = 0
  const lookUp = async (requestId: string): Promise<void> => {
    note(`a caller sends ${requestId}`)
    const answer = await call(callers, { path: '/lookup/a', requestId, deadlineMs: TIMEOUT_MS, body: 'tyre record' })
    tookMs.push(answer.status === 0 ? Infinity : answer.tookMs)
    note(`${requestId} is answered ${answer.status} after ${answer.tookMs} ms`)
  }
  const askReady = async (): Promise<void> => {
    const isReady = await Promise.race([call(ready, { path: '/-/ready', requestId: 'ready', method: 'GET', deadlineMs: READY_PERIOD_MS }), sleep(READY_PERIOD_MS)])
    if (isReady?.status !== 200) missedReady += 1
    note(`readiness: ${isReady?.status ?? 'no answer in a second'}, ${residentMb()} MB resident, ${Math.round(sentBytes / 1e6)} MB sent without end`)
  }
  const timers = [
    setInterval(() => { lookups.push(lookUp(`lookup-${lookups.length}`)) }, LOOKUP_PERIOD_MS),
    setInterval(() => { askReady().catch(() => {}) }, READY_PERIOD_MS)
  ]
  await sleep(TROUBLE_AT_MS)
  note('a caller sends audit-1, for a model of the second engine')
  const stream = call(callers, { ...audit, requestId: 'audit-1', headers: modelHeaders('m1') })
    .then(answer => { note(`audit-1: status ${answer.status}, ${answer.isWhole ? 'whole' : 'not whole'}, its caller left after ${answer.tookMs} ms`) })
  await sleep(Math.max(0, PLAY_MS - (performance.now() - beganMs)))
  for (const timer of timers) clearInterval(timer)
  // A request that is not answered by then is late by any count.
  await Promise.race([Promise.all([stream, ...lookups]), sleep(TIMEOUT_MS + LATE_MS)])
  const unfinishedCount = lookups.length - tookMs.length
  const pending = tookMs.filter(ms => ms > TIMEOUT_MS).length + unfinishedCount
  const late = tookMs.filter(ms => ms > TIMEOUT_MS + LATE_MS).length + unfinishedCount
  note(`${lookups.length} lookups at a sound server: ${pending} unanswered at their route's timeout of ${TIMEOUT_MS} ms, ${late} of these ${LATE_MS} ms later; ${missedReady} questions for readiness without a 200`)
  for (const end of unlist) end(false)
  for (const engine of engines) engine.crash()
  plain.close()
  store.close()
  return late > pending / 2
})
