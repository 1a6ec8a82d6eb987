import { Agent } from 'node:http'

import { call } from '../lib/call.js'
import { PLAIN_SERVICE, putConfig } from '../lib/config.js'
import { sleep, until } from '../lib/http.js'
import { listServer } from '../lib/listing.js'
import { encodeAnswer, startPlainServer } from '../lib/plainServer.js'
import { startStore } from '../lib/store.js'
import { commonFields, drawNetwork, hasTrouble, playCase } from '../lib/system.js'

import type { PlainServer } from '../lib/plainServer.js'

/** The faulty server's spell, and the moments in it at which both servers are full. */
const SPELL_MS = 5_000
const FULL_AT_MS = [1_800, 2_800, 3_800, 4_700]
const FULL_FOR_MS = 200

const RUN_MS = 5
const PAUSE_MS = 2
const DEADLINE_MS = 2_500

/** Largest part of its answers that the faulty server spoils. */
const SPOILED_SHARE = 0.03

await playCase('review/2/record.txt', async ({ start, note }) => {
  const address = drawNetwork()
  const store = await startStore(address(1))
  putConfig(store)
  const runs = new Map<string, string[]>()
  const isFull = (): boolean => {
    const atMs = performance.now() - spellMs
    return FULL_AT_MS.some(fullMs => atMs >= fullMs && atMs < fullMs + FULL_FOR_MS)
  }
  let spellMs = Infinity
  let answerCount = 0
  let spoiledCount = 0
  let extraCount = 0

  /** `restS`: the rest that it asks for when it is full. A faulty one gives the answer to the request before once more where the next one is due. */
  const startServer = async (serverId: string, restS: number, isFaulty: boolean): Promise<PlainServer> => {
    const extras = new WeakMap<object, string>()
    return await startPlainServer({
      serverId,
      service: PLAIN_SERVICE,
      host: address(1),
      take: ({ requestId, expectedId, socket }, done) => {
        const extra = extras.get(socket)
        if (extra !== undefined) {
          extras.delete(socket)
          extraCount += 1
          note(`${serverId} sends an extra copy of its answer to the request before`)
          socket.write(extra)
        }
        if (isFaulty && performance.now() - spellMs < SPELL_MS) answerCount += 1
        if (expectedId !== serverId) {
          socket.write(encodeAnswer('421 Misdirected Request', requestId, { 'Not-Executed': '1' }, ''))
          return done()
        }
        if (isFull()) {
          const answer = encodeAnswer('503 Service Unavailable', requestId, { 'Not-Executed': '1', 'Retry-After': String(restS) }, '')
          note(`${serverId} is full and turns ${requestId} away, asks for ${restS} s of rest`)
          socket.write(answer)
          if (isFaulty && hasTrouble && spoiledCount + 1 <= SPOILED_SHARE * answerCount) {
            spoiledCount += 1
            extras.set(socket, answer)
          }
          return done()
        }
        runs.set(requestId, [...runs.get(requestId) ?? [], serverId])
        note(`${serverId} runs ${requestId}`)
        setTimeout(() => {
          socket.write(encodeAnswer('200 OK', requestId, { 'Server-Seal': `seal-${serverId}-${requestId}` }, `answer to ${requestId}`))
          done()
        }, RUN_MS)
      }
    })
  }

  const servers = [await startServer('r-one', 0.3, true), await startServer('r-two', 0.9, false)]
  const unlist = servers.map(server => listServer(store, server))
  const callers = `${address(11)}:18080`
  await start('router', { ...commonFields('router-1', address(11), 18_100, store.address, true), listen: { front: callers, ready: `${address(11)}:18081` } })
  await until(async () => (await call(callers, { path: '/lookup/a', requestId: 'first', deadlineMs: DEADLINE_MS })).status === 200, 'a first answer')

  const agent = new Agent({ keepAlive: true })
  const answers = new Map<string, number>()
  await sleep(1_000)
  spellMs = performance.now()
  for (let index = 0; performance.now() - spellMs < SPELL_MS + 2_000; index++) {
    const requestId = `lookup-${index}`
    note(`a caller sends ${requestId}`)
    const answer = await call(callers, { path: `/lookup/${index}`, requestId, deadlineMs: DEADLINE_MS, body: 'tyre record', agent })
    answers.set(requestId, answer.status)
    note(`${requestId} is answered ${answer.status} after ${answer.tookMs} ms`)
    await sleep(PAUSE_MS)
  }
  const twice = [...runs].filter(([, ran]) => ran.length > 1).map(([requestId, ran]) => `${requestId} (${ran.join(', ')})`)
  const refused = [...answers].filter(([requestId, status]) => [429, 503].includes(status) && runs.has(requestId)).map(([requestId]) => requestId)
  note(`${answers.size} requests, ${extraCount} extra answers beside ${answerCount} answers of r-one in its spell`)
  note(`TWICE: run more than once: ${twice.join(', ') || 'none'}`)
  note(`REFUSED: answered 429 or 503 although run: ${refused.join(', ') || 'none'}`)
  for (const end of unlist) end(false)
  for (const server of servers) server.close()
  store.close()
  agent.destroy()
  return twice.length + refused.length > 0
})
