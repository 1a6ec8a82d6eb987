import { call } from '../lib/call.js'
import { ENGINE_SERVICE, modelHeaders, putConfig } from '../lib/config.js'
import { startCutLink } from '../lib/cutLink.js'
import { startEngine } from '../lib/engine.js'
import { sleep, until } from '../lib/http.js'
import { listServer } from '../lib/listing.js'
import { startStore } from '../lib/store.js'
import { commonFields, drawNetwork, playCase } from '../lib/system.js'

import type { Answer } from '../lib/call.js'
import type { CutLink } from '../lib/cutLink.js'
import type { Engine } from '../lib/engine.js'
import type { Program } from '../lib/system.js'

/** `kill` plays the end of the first router without the cut of the second one, `0` neither. */
const TROUBLE = process.env.TROUBLE ?? 'cut'

const ROUTER_COUNT = 4
/** Index of the router that is killed, and of the one that is cut off from the store and the other machines. */
const KILLED = 0
const CUT = 1

const CUT_MS = 5_000
/** Times after the beginning of the cut. */
const NEW_ENGINE_AT_MS = 300
const STREAMS_AT_MS = 2_000
const KILL_AT_MS = 2_700

const STREAM_COUNT = 36
const EVENT_COUNT = 42
const EVENT_PERIOD_MS = 70
const DEADLINE_MS = 13_000
const MAX_TRIES = 3
const RETRY_MS = 100

/** The rule allows two streams of two versions. */
const ALLOWED_COUNT = 2

const versionsIn = ({ body }: Answer): readonly string[] => [...new Set([...body.matchAll(/data: piece \d+ of (\S+)/g)].map(([, version = '']) => version))]
const lastIdIn = ({ body }: Answer): string => [...body.matchAll(/id: (\d+)\n.*\n\n/g)].at(-1)?.[1] ?? ''

await playCase('review/5/record.txt', async ({ start, note }) => {
  const address = drawNetwork()
  const [agentPort, cutAgentPort] = [18_100, 18_200]
  const store = await startStore(address(1))
  putConfig(store)
  const links: CutLink[] = [await startCutLink(address(1), 0, store.address)]
  const ends: Array<(isRemoved: boolean) => void> = []

  const startListed = async (serverId: string, host: string, version: string): Promise<Engine> => {
    const engine = await startEngine({
      serverId, host, version, service: ENGINE_SERVICE, held: ['m0'], onDisk: [], diskLoadMs: 440, coldLoadMs: 6_000, eventCount: EVENT_COUNT, eventPeriodMs: EVENT_PERIOD_MS, onRun: () => {}
    })
    await start('agent', { ...commonFields(`side-${serverId}`, host, agentPort, store.address, true), app: engine.address, service: ENGINE_SERVICE })
    links.push(await startCutLink(host, cutAgentPort, `${host}:${agentPort}`))
    ends.push(listServer(store, engine))
    note(`${serverId} of software version ${version} is listed`)
    return engine
  }

  const engines = [await startListed('e-old', address(21), 'v1')]
  const callers = Array.from({ length: ROUTER_COUNT }, (_, index) => `${address(11 + index)}:18080`)
  const startRouter = async (index: number, isFirstStart: boolean): Promise<Program> => {
    const isCutOne = index === CUT
    const common = commonFields(`front-${index}`, address(11 + index), isCutOne ? cutAgentPort : agentPort, isCutOne ? links[0]?.address ?? '' : store.address, isFirstStart)
    return await start('router', { ...common, listen: { front: callers[index], ready: `${address(11 + index)}:18081` } })
  }
  const routers = await Promise.all(callers.map(async (_, index) => await startRouter(index, true)))
  await Promise.all(callers.map(async caller => {
    await until(async () => (await call(caller, { path: '/audit/a', requestId: `first-${caller}`, deadlineMs: DEADLINE_MS, headers: modelHeaders('m0') })).status === 200, 'a first answer')
  }))
  await sleep(1_500)

  const cutMs = performance.now()
  const untilCut = async (atMs: number): Promise<void> => { await sleep(Math.max(0, cutMs + atMs - performance.now())) }
  if (TROUBLE === 'cut') {
    for (const link of links) link.setCut(true)
    note(`front-${CUT} is cut off from the store and from the agents`)
  }
  await untilCut(NEW_ENGINE_AT_MS)
  engines.push(await startListed('e-new', address(22), 'v2'))
  if (TROUBLE === 'cut') links.at(-1)?.setCut(true)

  const play = async (index: number): Promise<readonly string[]> => {
    const beganId = `stream-${index}`
    const begun = await call(callers[KILLED] ?? '', { path: '/audit/a', requestId: beganId, deadlineMs: DEADLINE_MS, headers: modelHeaders('m0', index) })
    const versions = new Set(versionsIn(begun))
    note(`${beganId} at front-${KILLED}: ${begun.status}, ${begun.isWhole ? 'whole' : 'broken off'} after event ${lastIdIn(begun)}, of ${[...versions].join()}`)
    if (begun.isWhole || versions.size === 0) return [...versions]
    let lastId = lastIdIn(begun)
    for (let tries = 1; tries <= MAX_TRIES; tries++) {
      const router = 1 + (index + tries) % (ROUTER_COUNT - 1)
      const rest = await call(callers[router] ?? '', {
        path: '/audit/a', requestId: `${beganId}-${tries}`, deadlineMs: DEADLINE_MS, headers: { ...modelHeaders('m0', index), 'last-event-id': lastId, resumes: beganId }
      })
      for (const version of versionsIn(rest)) versions.add(version)
      note(`${beganId}, taken up after event ${lastId} at front-${router}: ${rest.status}, ${rest.isWhole ? 'whole' : 'broken off'} after event ${lastIdIn(rest)}, of ${versionsIn(rest).join()}`)
      if (rest.isWhole && rest.status === 200) break
      lastId = lastIdIn(rest) || lastId
      await sleep(RETRY_MS)
    }
    return [...versions]
  }

  await untilCut(STREAMS_AT_MS)
  const streams = Array.from({ length: STREAM_COUNT }, async (_, index) => await play(index))
  await untilCut(KILL_AT_MS)
  if (TROUBLE !== '0') {
    note(`front-${KILLED} is killed`)
    await routers[KILLED]?.kill()
    sleep(1_000).then(async () => await startRouter(KILLED, false)).catch(() => {})
  }
  const healing = untilCut(CUT_MS).then(() => {
    for (const link of links) link.setCut(false)
    note('the cut has healed')
  })
  const results = await Promise.all(streams)
  await healing
  await sleep(500)
  const joinedCount = results.filter(versions => versions.length > 1).length
  note(`ORDER: ${joinedCount} of ${STREAM_COUNT} streams hold events of two software versions; ${ALLOWED_COUNT} are allowed`)
  for (const end of ends) end(false)
  for (const engine of engines) engine.crash()
  for (const link of links) link.close()
  store.close()
  return joinedCount > ALLOWED_COUNT
})
