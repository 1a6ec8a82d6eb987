import { Agent } from 'node:http'

import { call } from './call.js'
import { ENGINE_SERVICE, modelHeaders, PLAIN_SERVICE, putConfig } from './config.js'
import { startEngine } from './engine.js'
import { headerOf, sleep, until } from './http.js'
import { listServer } from './listing.js'
import { encodeAnswer, startPlainServer } from './plainServer.js'
import { startStore } from './store.js'
import { commonFields, drawNetwork, hasTrouble } from './system.js'

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Bench, Program } from './system.js'

const ROUTER_COUNT = 2
const RESTART_MS = 500

/** The faulty engine's spell, and the share of its answers that it spoils there. */
const SPELL_MS = 5_000
const SPOILED_SHARE = 0.03
const STREAM_PERIOD_MS = 40
const FIRST_SPOILED = 34

const LOOKUP_CALLERS = 8
const LOOKUP_WORK_MS = 40
const LOOKUP_DEADLINE_MS = 2_500
const DRAFT_DEADLINE_MS = 12_000

/** The rule allows three. */
const ALLOWED_COUNT = 3

/** What an engine writes in place of a sound answer to the request with this id. */
export type SpoiledAnswer = (requestId: string) => string

/**
 * Plays an engine that spoils some of its answers, beside callers whose requests run at a sound plain server. True if a router has closed
 * more kept connections without an answer than the rule allows, after it had passed their requests on to the sound server.
 */
export const playSpoiledAnswers = async ({ start, note }: Bench, spoil: SpoiledAnswer): Promise<boolean> => {
  const address = drawNetwork()
  const agentPort = 18_100
  const store = await startStore(address(1))
  putConfig(store)
  let spellMs = Infinity
  const isInSpell = (): boolean => performance.now() - spellMs < SPELL_MS && performance.now() > spellMs
  let answerCount = 0
  let spoiledCount = 0

  const answerOrSpoil = (message: IncomingMessage, response: ServerResponse): void => {
    const requestId = headerOf(message, 'request-id')
    answerCount += Number(isInSpell())
    note(`e-one runs ${requestId}`)
    if (hasTrouble && isInSpell() && answerCount >= FIRST_SPOILED && spoiledCount + 1 <= SPOILED_SHARE * answerCount) {
      spoiledCount += 1
      note(`the faulty engine spoils its answer to ${requestId}, its number ${answerCount} in the spell`)
      response.socket?.write(spoil(requestId))
      return
    }
    response.writeHead(200, { 'Request-Id': requestId, 'Server-Seal': 'seal-e-one', 'Weight-Versions': '1', 'Content-Type': 'text/event-stream' })
    response.end('id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n')
  }

  const sound = { service: ENGINE_SERVICE, version: 'v1', onDisk: [], diskLoadMs: 440, coldLoadMs: 6_000, eventCount: 2, eventPeriodMs: 5, onRun: () => {} }
  const engines = [
    await startEngine({ ...sound, serverId: 'e-one', host: address(21), held: ['m0'], answer: answerOrSpoil }),
    await startEngine({ ...sound, serverId: 'e-two', host: address(22), held: ['m1'] })
  ]
  const passedOn = new Set<string>()
  const plain = await startPlainServer({
    serverId: 'r-one',
    service: PLAIN_SERVICE,
    host: address(1),
    take: ({ requestId, socket }, done) => {
      passedOn.add(requestId)
      note(`r-one runs ${requestId}`)
      setTimeout(() => {
        socket.write(encodeAnswer('200 OK', requestId, { 'Server-Seal': `seal-${requestId}` }, 'a record'))
        done()
      }, LOOKUP_WORK_MS)
    }
  })
  const unlist = [...engines, plain].map(server => listServer(store, server))
  for (const engine of engines) {
    const [ip = ''] = engine.address.split(':')
    await start('agent', { ...commonFields(`side-${engine.serverId}`, ip, agentPort, store.address, true), app: engine.address, service: ENGINE_SERVICE })
  }

  const callers = Array.from({ length: ROUTER_COUNT }, (_, index) => `${address(11 + index)}:18080`)
  let isOver = false
  const endCounts = callers.map(() => 0)

  const startRouter = async (index: number, isFirstStart: boolean): Promise<void> => {
    const program: Program = await start('router', {
      ...commonFields(`front-${index}`, address(11 + index), agentPort, store.address, isFirstStart), listen: { front: callers[index], ready: `${address(11 + index)}:18081` }
    })
    program.ended.then(async code => {
      if (isOver) return
      endCounts[index] = (endCounts[index] ?? 0) + 1
      note(`front-${index} has ended by itself, with code ${code}`)
      await sleep(RESTART_MS)
      if (!isOver) await startRouter(index, false)
    }).catch(() => {})
  }

  await Promise.all(callers.map(async (_, index) => { await startRouter(index, true) }))
  await Promise.all(callers.map(async caller => {
    await until(async () => (await call(caller, { path: '/draft/a', requestId: `first-${caller}`, deadlineMs: DRAFT_DEADLINE_MS, headers: modelHeaders('m0') })).status === 200, 'a first answer')
  }))
  await sleep(1_000)

  spellMs = performance.now()
  const lost: string[] = []
  let lookupCount = 0

  /** Calls over one kept connection, one request after the other. */
  const lookUp = async (caller: string): Promise<void> => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    while (performance.now() - spellMs < SPELL_MS) {
      const requestId = `lookup-${lookupCount++}`
      note(`a caller sends ${requestId} over a kept connection`)
      const answer = await call(caller, { path: '/lookup/a', requestId, deadlineMs: LOOKUP_DEADLINE_MS, body: 'tyre record', agent })
      if (answer.status === 0 && passedOn.has(requestId)) lost.push(requestId)
      note(`${requestId}: status ${answer.status} after ${answer.tookMs} ms${answer.status === 0 ? ', its connection was closed' : ''}`)
      if (answer.status !== 200) await sleep(100)
    }
    agent.destroy()
  }

  let draftCount = 0
  const sendDraft = (): void => {
    const index = draftCount++
    const caller = callers[index % ROUTER_COUNT] ?? ''
    note(`a caller sends draft-${index}`)
    call(caller, { path: '/draft/a', requestId: `draft-${index}`, deadlineMs: DRAFT_DEADLINE_MS, headers: modelHeaders('m0') })
      .then(answer => { note(`draft-${index}: status ${answer.status}, ${answer.isWhole ? 'whole' : 'not whole'}`) })
      .catch(() => {})
  }
  const drafts = setInterval(sendDraft, STREAM_PERIOD_MS)
  await Promise.all(callers.flatMap(caller => Array.from({ length: LOOKUP_CALLERS / ROUTER_COUNT }, async () => { await lookUp(caller) })))
  clearInterval(drafts)
  isOver = true
  note(`${answerCount} answers of the faulty engine in its spell, ${spoiledCount} of them spoiled; ${lookupCount} lookups; ends by themselves: ${endCounts.map((count, index) => `front-${index} ${count}`).join(', ')}`)
  note(`LOST: ${lost.length} requests were passed on to the sound server and their kept connections closed without an answer; ${ALLOWED_COUNT} are allowed: ${lost.join(', ')}`)
  for (const end of unlist) end(false)
  for (const engine of engines) engine.crash()
  plain.close()
  store.close()
  return lost.length > ALLOWED_COUNT
}
