import * as z from 'zod'

import { Limit } from './constants.js'

import type { ServiceName } from '@figmount/base'

const MAX_PORT = 65_535
const MAX_COUNT = 1_000_000

const name = z.string('a name').regex(/^[a-z0-9][a-z0-9._-]*$/, 'a name of a-z, 0-9, dot, dash and underscore')
const address = z.string('host:port').regex(/^[^\s:]+:\d{1,5}$/, 'host:port')
const count = (fallback: number) => z.coerce.number('a number').int('a whole number').min(0).max(MAX_COUNT).default(fallback)

const services = z.string('names parted by commas').transform((text, context) => {
  const names = text.split(',').map(part => part.trim()).filter(part => part !== '')
  if (names.length > 0 && names.every(part => name.safeParse(part).success)) return names as readonly string[] as readonly ServiceName[]
  context.addIssue({ code: 'custom', message: 'names parted by commas' })
  return z.NEVER
})

/** Settings of `figmount-agent`, as read from INI. */
export const agentSettings = z.strictObject({
  process: z.strictObject({
    instance: name,
    data_centre: name,
    host: z.string('an IP number').min(1),
    /** 0 lets the system choose. */
    port: z.coerce.number('a port').int('a port').min(0).max(MAX_PORT)
  }),
  platform: z.strictObject({ log: address, instance_list: address }),
  trust: z.strictObject({ shared_key: z.string('the shared key').min(1, 'the shared key') }),
  backend: z.strictObject({ kind: z.enum(['engine', 'plain'], 'engine or plain'), address, services }),
  limits: z.strictObject({
    /** Requests that may wait. */
    max_queued: count(Limit.queuedCount),
    /** Memory of the engine that is set aside for KV cache and never given to models. */
    kv_cache_mb: count(Limit.kvCacheMb),
    /** Calls that a plain service is given side by side. */
    plain_concurrency: count(Limit.plainConcurrency),
    /** Memory of this process for kept answers of requests that may not be repeated. */
    kept_answers_mb: count(Limit.keptAnswersMb),
    /** Keys of requests that may not be repeated that are remembered at once. */
    max_keys: count(Limit.keyCount),
    /** Time that a stop may take; what then still runs is refused as "may have run". */
    drain_ms: count(Limit.drainMs)
  }).prefault({}),
  tuning: z.strictObject({
    /** Period at which the instance list is read. */
    list_ms: count(Limit.listMs),
    /** Loads from the weight store side by side by this agent. */
    store_loads: count(Limit.storeLoadCount)
  }).prefault({})
})

export type AgentSettings = Readonly<z.infer<typeof agentSettings>>
