import * as z from 'zod'
import { connectionSection } from '@figmount/base'

import type { OperatorKey } from './types.js'

const NAME = /^[a-z0-9][a-z0-9._-]*$/
const KEY_LINE = /^([a-z0-9][a-z0-9._-]*):([0-9a-f]{64})$/
const MIN_SHARED_KEY_LENGTH = 8

const name = z.string('a name').regex(NAME, 'a name of a-z, 0-9, dot, dash and underscore')
const address = z.string('host:port').regex(/^[^\s:]+:\d{1,5}$/, 'host:port')
const count = (fallback: number, min = 1) =>
  z.coerce.number('a whole number').int('a whole number').min(min, `at least ${min}`).default(fallback)

const readKeys = (text: string): readonly OperatorKey[] | undefined => {
  const keys: OperatorKey[] = []
  for (const entry of text.split(',').map(part => part.trim()).filter(part => part !== '')) {
    const [, keyName, keySha256] = KEY_LINE.exec(entry) ?? []
    if (!keyName || !keySha256) return undefined
    keys.push({ name: keyName, keySha256 })
  }
  return keys
}

const operatorKeys = z.string().default('').transform((text, context) => {
  const keys = readKeys(text)
  if (keys) return keys
  context.addIssue({ code: 'custom', message: 'name:sha256 in hexadecimal, separated by commas' })
  return z.NEVER
})

/** Settings of a router. All limits apply to external input; docs/operate/router.md explains them. */
export const routerSettings = z.strictObject({
  process: z.strictObject({
    instance: name,
    data_centre: name,
    host: z.string('a host').default('127.0.0.1'),
    port: z.coerce.number('a port').int('a port').min(0, 'a port').max(65_535, 'a port')
  }, 'a section'),
  platform: z.strictObject({ log: address, instance_list: address }, 'a section'),
  trust: z.strictObject({
    shared_key: z.string('a key').min(MIN_SHARED_KEY_LENGTH, `at least ${MIN_SHARED_KEY_LENGTH} characters`),
    operator_keys: operatorKeys
  }, 'a section'),
  limits: z.strictObject({
    /** Maximum size of a prompt or plain body in bytes. */
    prompt_bytes: count(1_000_000),
    max_tokens: count(32_768),
    deadline_ms: count(600_000),
    /** Maximum number of concurrent requests; further ones are refused with "not run". */
    admitted_count: count(4_000)
  }).prefault({}),
  connections: connectionSection,
  records: z.strictObject({
    /** Interval between snapshots; at most a quarter of the log's retention. */
    snapshot_period_ms: count(900_000)
  }).prefault({}),
  stop: z.strictObject({
    /** Time after a stop request for which new requests are still served, until the load balancer has noticed. */
    lame_duck_ms: count(1_000, 0),
    /** Time for running requests to finish. */
    drain_ms: count(60_000, 0)
  }).prefault({})
})
