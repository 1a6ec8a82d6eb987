import type { Store } from './store.js'

export const ENGINE_SERVICE = 'readers'
export const PLAIN_SERVICE = 'records'

/** Header fields of a request to a model; requests share the first part of their prompts. */
export const modelHeaders = (model: string, promptNumber = 0): Readonly<Record<string, string>> => ({
  model, 'token-count': '826,168', 'prompt-prefix': `aa01:198,${(0xb000 + promptNumber).toString(16)}:628`
})

/** Routes, times and sizes as on the sheets of the small deployments. */
const routes: readonly object[] = [
  { name: 'draft', host: 'site.example', 'path-prefix': '/draft/', kind: 'streaming', service: ENGINE_SERVICE, 'timeout-ms': 12_000, 'target-latency-ms': 400, 'gap-aim-ms': 300, priority: 0, 'max-attempts': 1, sticky: true },
  { name: 'audit', host: 'site.example', 'path-prefix': '/audit/', kind: 'streaming', service: ENGINE_SERVICE, 'timeout-ms': 13_000, 'target-latency-ms': 2_000, 'gap-aim-ms': 300, priority: 2, 'max-attempts': 2, resumable: true, sticky: true },
  { name: 'ask', host: 'site.example', 'path-prefix': '/ask/', kind: 'streaming', service: ENGINE_SERVICE, 'timeout-ms': 12_000, 'target-latency-ms': 250, 'gap-aim-ms': 150, priority: 2, 'max-attempts': 2, resumable: true, sticky: true },
  { name: 'lookup', host: 'site.example', 'path-prefix': '/lookup/', kind: 'unsafe', service: PLAIN_SERVICE, 'timeout-ms': 2_500, 'target-latency-ms': 193, priority: 2, 'max-attempts': 2 },
  { name: 'status', host: 'site.example', 'path-prefix': '/status/', kind: 'safe', service: PLAIN_SERVICE, 'timeout-ms': 2_500, 'target-latency-ms': 193, priority: 2, 'max-attempts': 2 }
]

const engine: object = {
  models: ['m0', 'm1', 'm2', 'm3'].map(name => ({ name, 'weights-mb': 72_700, 'load-time-s': 6, 'disk-s': 0.44, 'warm-s': 0.32, adapters: 4, 'adapter-mb': 66 })),
  'weights-mb': 230_000,
  'adapter-slots': 8
}

/** Writes the operator's configuration; versions differ in nothing else. */
export const putConfig = (store: Store, version = 3): void => {
  store.put('keyed.op', 'config', {
    version,
    routes,
    services: [{ name: ENGINE_SERVICE, 'health-path': '/health', engine }, { name: PLAIN_SERVICE, 'health-path': '/health' }],
    limits: { 'max-header-bytes': 16_384, 'max-body-bytes': 262_144, 'header-timeout-ms': 5_000, 'idle-timeout-ms': 10_000 }
  })
}
