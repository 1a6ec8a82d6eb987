/**
 * A plain runner crashes and starts again under its id, with a later `born`; a write of the first start to the store is held up on its link. Then
 * the runner is taken away: its entry is removed, and it goes on serving for a while. The write of the first start arrives seconds later. From
 * `drain-ms` after the store has accepted the removal, no request may reach the runner.
 */
import { call, makeRequestId } from '../lib-2/caller.mjs'
import { startProxy } from '../lib-2/proxy.mjs'
import { hasTrouble, playCase, sleep } from '../lib-2/site.mjs'

const SERVICE = 'survey-app'
const DRAIN_MS = 2_000
const HEARTBEAT_MS = 1_200
const DOWN_MS = 1_500
/** Time from the new start until its entry is removed. */
const SERVE_MS = 1_500
/** Time for which the write of the first start is held up, from the crash on. */
const HELD_MS = 6_000
/** Time for which the runner goes on serving after its entry was removed. */
const LINGER_MS = 9_000

const CONFIG = {
  version: 3,
  routes: [{ name: 'site-status', host: 'site.example', 'path-prefix': '/status/', kind: 'safe', service: SERVICE, 'timeout-ms': 1_200, 'target-latency-ms': 193, priority: 2, 'max-attempts': 2 }],
  services: [{ name: SERVICE, 'health-path': '/health', 'max-conns': 100 }],
  limits: { 'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 3_000, 'idle-timeout-ms': 15_000 }
}

await playCase(import.meta.dirname, async site => {
  const { store, record } = site
  store.put('keyed.op', 'config', CONFIG)
  const settingsOf = index => {
    const host = site.newHost()
    return { id: `i-plain-${index}`, host, port: 9_001, listedAddress: `${host}:9001`, service: SERVICE, version: 'v1', slots: 6 }
  }
  for (let index = 1; index < 4; index++) await site.startRunner(settingsOf(index))
  const settings = settingsOf(0)
  const link = await startProxy(settings.host, store.address)
  const first = await site.startRunner({ ...settings, store: link.address })
  const routers = [await site.startRouter({ name: 'front-1' }), await site.startRouter({ name: 'front-2' })]
  await site.awaitReady(routers)

  const over = new AbortController()
  const sentAt = new Map()
  const callForEver = async () => {
    for (let index = 0; !over.signal.aborted; index++) {
      const requestId = makeRequestId()
      sentAt.set(requestId, Date.now())
      const { status, tookMs } = await call(routers[index % 2].address, { path: `/status/${index}`, requestId, deadlineMs: 2_500 })
      record('caller gets', { requestId, status, tookMs })
      await sleep(20)
    }
  }
  const calling = callForEver()
  await sleep(4_000)

  if (hasTrouble) link.setCut(true)
  // The next heartbeat of the first start is on its way.
  await sleep(HEARTBEAT_MS + 100)
  const crashedAt = Date.now()
  if (hasTrouble) first.child.kill('SIGKILL')
  await sleep(DOWN_MS)
  const last = hasTrouble ? await site.startRunner(settings) : first
  await sleep(SERVE_MS)
  last.child.kill('SIGUSR1')
  store.put('keyed.servers', settings.id, undefined)
  const removedAt = Date.now()
  record('the runner is taken away: its entry is removed', { id: settings.id })
  await sleep(crashedAt + HELD_MS - removedAt)
  if (hasTrouble) {
    link.setCut(false)
    record('what the first start wrote has arrived')
  }
  await sleep(removedAt + LINGER_MS - Date.now())
  last.child.kill('SIGKILL')
  over.abort()
  await calling
  link.close()

  const late = last.done.filter(({ what, requestId }) => what === 'run' && sentAt.get(requestId) > removedAt + DRAIN_MS)
  const before = last.done.filter(({ what, atMs }) => what === 'run' && atMs < removedAt)
  return {
    isBroken: late.length > 0,
    summary: `${late.length} requests reached the runner that callers had sent later than ${DRAIN_MS} ms after the store had accepted its removal; ${before.length} had reached it before`
  }
})
