import * as z from 'zod'
import { connectionSection } from '@figmount/base'

import { Limit } from './constants.js'

import type { ServiceName } from '@figmount/base'

const MAX_PORT = 65_535
const MAX_COUNT = 1_000_000

const name = z.string('a name').regex(/^[a-z0-9][a-z0-9._-]*$/, 'a name of a-z, 0-9, dot, dash and underscore')
const address = z.string('host:port').regex(/^[^\s:]+:\d{1,5}$/, 'host:port')
const count = (fallback: number) => z.coerce.number('a number').int('a whole number').min(0).max(MAX_COUNT).default(fallback)

const services = z.string('comma-separated names').transform((text, context) => {
  const names = text.split(',').map(part => part.trim()).filter(part => part !== '')
  if (names.length > 0 && names.every(part => name.safeParse(part).success)) return names as readonly string[] as readonly ServiceName[]
  context.addIssue({ code: 'custom', message: 'comma-separated names' })
  return z.NEVER
})

/** The settings file of `figmount-agent`, in INI format. */
export const agentSettings = z.strictObject({
  process: z.strictObject({
    instance: name,
    data_centre: name,
    host: z.string('an IP number').min(1),
    /** 0 lets the operating system choose. */
    port: z.coerce.number('a port').int('a port').min(0).max(MAX_PORT)
  }),
  platform: z.strictObject({ log: address, instance_list: address }),
  trust: z.strictObject({ shared_key: z.string('the shared key').min(1, 'the shared key') }),
  backend: z.strictObject({ kind: z.enum(['engine', 'plain'], 'engine or plain'), address, services }),
  limits: z.strictObject({
    /** Maximum number of queued requests. */
    max_queued: count(Limit.queuedCount),
    /** Engine memory reserved for the KV cache and never used for models. */
    kv_cache_mb: count(Limit.kvCacheMb),
    /** Maximum number of concurrent calls to a plain service. */
    plain_concurrency: count(Limit.plainConcurrency),
    /** Memory of this process for stored answers of non-repeatable requests. */
    kept_answers_mb: count(Limit.keptAnswersMb),
    /** Maximum number of stored keys of non-repeatable requests. */
    max_keys: count(Limit.keyCount),
    /** Time limit of a stop; a run that is still open then is refused as "may have run". */
    drain_ms: count(Limit.drainMs)
  }).prefault({}),
  connections: connectionSection,
  tuning: z.strictObject({
    /** Period at which the instance list is read. */
    list_ms: count(Limit.listMs),
    /** Maximum number of concurrent loads from the weight store by this agent. */
    store_loads: count(Limit.storeLoadCount)
  }).prefault({})
})

export type AgentSettings = Readonly<z.infer<typeof agentSettings>>
