import * as z from 'zod'

import { ConfigLimit } from '../config/types.js'
import { MAX_BODY_LENGTH } from '../config/parseBody.js'

const ID_LENGTH = 128
const SERVICES_PER_AGENT = 256
const FINGERPRINTS_PER_DEATH = 512
const CHUNKS_PER_SNAPSHOT = 4096

const id = z.string().min(1).max(ID_LENGTH)
const text = z.string().max(ID_LENGTH)
const offset = z.int().min(0)
const target = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,63}(\/[a-z0-9][a-z0-9._-]{0,63})?$/)

const head = { recordId: id, writer: id, writerIncarnation: id.optional() }

const right = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('replica'), target, slotIndex: z.int().min(0).max(ConfigLimit.replicasPerModel - 1) }),
  z.object({ kind: z.literal('keys'), target })
])

/**
 * Schema of every record read from the log or a peer. Fields added by a newer build are dropped, and
 * everything that could make the state grow is limited.
 */
export const recordSchema = z.discriminatedUnion('kind', [
  z.object({
    ...head,
    kind: z.literal('config.set'),
    item: text,
    expectedVersion: z.int().min(0),
    bodyJson: z.string().max(MAX_BODY_LENGTH),
    operatorName: text
  }),
  z.object({
    ...head,
    kind: z.literal('agent.up'),
    instance: id,
    incarnation: id,
    dataCentre: text,
    services: z.array(id).max(SERVICES_PER_AGENT),
    backendKind: z.enum(['engine', 'plain']),
    memoryCapacityMb: z.number().min(0),
    enforcesFence: z.boolean()
  }),
  z.object({ ...head, kind: z.literal('right.grant'), right, instance: id, incarnation: id, expectedFence: offset }),
  z.object({ ...head, kind: z.literal('right.revoke'), right, fence: offset }),
  z.object({ ...head, kind: z.literal('right.release'), right, fence: offset }),
  z.object({ ...head, kind: z.literal('right.renew'), right, fence: offset, incarnation: id }),
  z.object({ ...head, kind: z.literal('instance.void'), instance: id, upToOffset: offset }),
  z.object({ ...head, kind: z.literal('drain.set'), instance: id, draining: z.boolean(), operatorName: text }),
  z.object({
    ...head,
    kind: z.literal('suspect.add'),
    fingerprints: z.array(id).min(1).max(FINGERPRINTS_PER_DEATH),
    deathId: id,
    instance: id
  }),
  z.object({ ...head, kind: z.literal('suspect.clear'), fingerprint: id }),
  z.object({
    ...head,
    kind: z.literal('snapshot.chunk'),
    snapshotId: id,
    baseOffset: offset,
    index: z.int().min(0),
    count: z.int().min(1).max(CHUNKS_PER_SNAPSHOT),
    bytes: z.instanceof(Uint8Array)
  }).refine(chunk => chunk.index < chunk.count, 'index to be below count')
])
