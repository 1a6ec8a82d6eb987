import { call } from '../lib/call.js'
import { ENGINE_SERVICE, modelHeaders, putConfig } from '../lib/config.js'
import { startEngine } from '../lib/engine.js'
import { sleep, until } from '../lib/http.js'
import { listServer } from '../lib/listing.js'
import { startStore } from '../lib/store.js'
import { commonFields, drawNetwork, hasTrouble, playCase } from '../lib/system.js'

const STREAM_COUNT = 6
const EVENT_COUNT = 100
const EVENT_PERIOD_MS = 100
const DEADLINE_MS = 12_000

/** Times after the first stream was sent. */
const DRAINING_AT_MS = 500
const CONFIG_AT_MS = 2_700
const CLOSED_AT_MS = 3_000

/** A change counts from its sending until this long after the store has taken it: `config-apply-ms` and a second. */
const CONFIG_WINDOW_MS = 3_000

/** Cuts count if they are over three times as frequent then as at other times. */
const OTHER_FACTOR = 3

await playCase('review/5/record.txt', async ({ start, note }) => {
  const address = drawNetwork()
  const agentPort = 18_100
  const store = await startStore(address(1))
  putConfig(store)
  const engineOf = { service: ENGINE_SERVICE, version: 'v1', onDisk: [], diskLoadMs: 440, coldLoadMs: 6_000, eventCount: EVENT_COUNT, eventPeriodMs: EVENT_PERIOD_MS }
  const engines = await Promise.all(['m0', 'm1'].map(async (model, index) => {
    const serverId = `e-${index}`
    return await startEngine({ ...engineOf, serverId, host: address(21 + index), held: [model], onRun: ({ requestId, lastEventId }) => { note(`${serverId} runs ${requestId}${lastEventId === '' ? '' : ` from event ${lastEventId} on`}`) } })
  }))
  const listings = engines.map(engine => listServer(store, engine))
  for (const engine of engines) {
    const [ip = ''] = engine.address.split(':')
    await start('agent', { ...commonFields(`side-${engine.serverId}`, ip, agentPort, store.address, true), app: engine.address, service: ENGINE_SERVICE })
  }
  const callers = `${address(11)}:18080`
  await start('router', { ...commonFields('front-1', address(11), agentPort, store.address, true), listen: { front: callers, ready: `${address(11)}:18081` } })
  await until(async () => (await call(callers, { path: '/ask/a', requestId: 'first', deadlineMs: DEADLINE_MS, headers: { ...modelHeaders('m1'), 'last-event-id': String(EVENT_COUNT - 5) } })).status === 200, 'a first answer')
  await sleep(1_000)

  const beganMs = performance.now()
  const untilBegun = async (atMs: number): Promise<void> => { await sleep(Math.max(0, beganMs + atMs - performance.now())) }
  let configMs = Infinity
  const streams = Array.from({ length: STREAM_COUNT }, async (_, index) => {
    const requestId = `ask-${index}`
    note(`a caller sends ${requestId}, for the model that the first engine alone holds`)
    const answer = await call(callers, { path: '/ask/a', requestId, deadlineMs: DEADLINE_MS, headers: modelHeaders('m0', index) })
    const lastId = [...answer.body.matchAll(/id: (\d+)\n/g)].at(-1)?.[1] ?? ''
    const isWhole = answer.isWhole && lastId === String(EVENT_COUNT)
    const isBesideConfig = performance.now() > configMs && performance.now() < configMs + CONFIG_WINDOW_MS
    note(`${requestId} is answered ${answer.status}, ${isWhole ? 'whole' : 'cut'} after event ${lastId || 'none'}, ${answer.tookMs} ms after it was sent`)
    return { isCut: !isWhole, isBesideConfig }
  })
  if (hasTrouble) {
    await untilBegun(DRAINING_AT_MS)
    engines[0]?.drain()
    listings[0]?.(false)
    listings[0] = listServer(store, engines[0] ?? engines[1]!, 'draining')
    note('e-0 says that it leaves: its entry is draining')
  }
  await untilBegun(CONFIG_AT_MS)
  putConfig(store, 4)
  configMs = performance.now()
  note('the operator sends a configuration, the same but for its version')
  if (hasTrouble) {
    await untilBegun(CLOSED_AT_MS)
    engines[0]?.stopListening()
    note('e-0 takes no more connections, goes on with what it runs, and exits when that has ended')
  }
  const ends = await Promise.all(streams)
  const cutCount = ends.filter(({ isCut, isBesideConfig }) => isCut && isBesideConfig).length
  const otherCount = ends.filter(({ isCut, isBesideConfig }) => isCut && !isBesideConfig).length
  note(`LOST: ${cutCount} of ${STREAM_COUNT} streams were cut beside the change of the configuration, ${otherCount} at other times`)
  for (const unlist of listings) unlist(false)
  for (const engine of engines) engine.crash()
  store.close()
  return cutCount > otherCount * OTHER_FACTOR
})
