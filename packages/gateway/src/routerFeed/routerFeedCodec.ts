import * as z from 'zod'
import { decodeRecordValue, encodeRecordValue } from '@figmount/fleet'

import type { FeedRecord, NewRecord } from '@figmount/fleet'
import type { RouterNotice } from './types.js'

/** A record by which a router shows that it runs. */
export interface PresenceRecord {
  readonly type: 'presence'
  readonly instance: string
  readonly writtenUnixMs: number
}

/** A record that holds what a router tells the others. */
export interface NoticeRecord {
  readonly type: 'notice'
  readonly instance: string
  readonly writtenUnixMs: number
  readonly notice: RouterNotice
}

/** Notices of one router that the feed keeps: each overwrites an earlier one, so that the feed does not grow. */
const KEPT_COUNT = 16

const PRESENCE = 'router'
const NOTICE = 'notice'

const startSchema = z.object({ serverId: z.string(), startedAtUnixMs: z.number().optional() })
const identitySchema = z.object({ contentHash: z.string(), callerId: z.string() })
const ageSchema = z.number().nonnegative()
const partProofSchema = z.object({ partId: z.string(), sentAgeMs: ageSchema })
const partRunSchema = partProofSchema.extend({ provenAgeMs: ageSchema.optional(), sentAfter: z.string().optional() })

const noticeSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('crash'),
    crashes: z.array(z.object({ identity: identitySchema, start: startSchema, ageMs: ageSchema })),
    answered: z.array(z.object({ identity: identitySchema, ageMs: ageSchema })),
    partDeaths: z.array(z.object({ start: startSchema, ageMs: ageSchema, parts: z.array(partRunSchema) })).default([]),
    partProofs: z.array(partProofSchema).default([])
  }),
  z.object({ type: z.literal('serverLimit'), start: startSchema, limitPerS: z.number().optional() }),
  z.object({ type: z.literal('serverLeaving'), start: startSchema })
])

const presenceSchema = z.object({ writtenUnixMs: z.number() })
const noticeRecordSchema = presenceSchema.extend({ notice: noticeSchema })

/** Encodes that a router runs. */
export const encodePresence = (instance: string, writtenUnixMs: number): NewRecord =>
  ({ key: `${PRESENCE}/${instance}`, value: encodeRecordValue({ writtenUnixMs }) })

/** Encodes a router's `index`th notice. */
export const encodeNotice = (instance: string, index: number, writtenUnixMs: number, notice: RouterNotice): NewRecord =>
  ({ key: `${NOTICE}/${instance}/${index % KEPT_COUNT}`, value: encodeRecordValue({ writtenUnixMs, notice }) })

const decodeNotice = (instance: string, value: Uint8Array): NoticeRecord | undefined => {
  const fields = decodeRecordValue(noticeRecordSchema, value)
  return fields && { type: 'notice', instance, writtenUnixMs: fields.writtenUnixMs, notice: fields.notice as RouterNotice }
}

/** Decodes a record; undefined for one that another writer left. */
export const decodeRouterRecord = ({ key, value }: FeedRecord): PresenceRecord | NoticeRecord | undefined => {
  const [kind, instance = ''] = key.split('/')
  if (!value || instance === '') return undefined
  if (kind === NOTICE) return decodeNotice(instance, value)
  const fields = kind === PRESENCE ? decodeRecordValue(presenceSchema, value) : undefined
  return fields && { type: 'presence', instance, writtenUnixMs: fields.writtenUnixMs }
}
