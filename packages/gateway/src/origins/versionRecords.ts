import * as z from 'zod'
import { decodeRecordValue, encodeRecordValue } from '@figmount/fleet'

import type { FeedRecord, NewRecord } from '@figmount/fleet'

/** A version that served alone until others came. */
export interface RecordedLoneVersion {
  readonly softwareVersion: string
  /** Time of day at which the others came. */
  readonly untilUnixMs: number
}

/** The software versions of one service's servers: of those in service, and of those that have gone a short while ago. */
export interface RecordedVersions {
  readonly serviceName: string
  readonly softwareVersions: readonly string[]
  /** Undefined once streams from before the other versions can't be taken up any more. */
  readonly lone: RecordedLoneVersion | undefined
}

const recordSchema = z.object({
  softwareVersions: z.array(z.string()),
  lone: z.object({ softwareVersion: z.string(), untilUnixMs: z.number() }).optional()
})

/** Encodes the versions of a service; the record's key is the service's name. */
export const encodeVersions = ({ serviceName, softwareVersions, lone }: RecordedVersions): NewRecord =>
  ({ key: serviceName, value: encodeRecordValue({ softwareVersions, ...(lone ? { lone } : {}) }) })

/** Decodes a record; undefined for one that another writer left. */
export const decodeVersions = ({ key, value }: FeedRecord): RecordedVersions | undefined => {
  const fields = value && decodeRecordValue(recordSchema, value)
  return fields && { serviceName: key, softwareVersions: fields.softwareVersions, lone: fields.lone }
}

/** True if the two say the same. Routers see the others come at slightly different times. */
export const sayTheSame = (one: RecordedVersions, other: RecordedVersions | undefined): boolean => {
  if (!other || one.softwareVersions.length !== other.softwareVersions.length) return false
  if (one.lone?.softwareVersion !== other.lone?.softwareVersion) return false
  return one.softwareVersions.every(version => other.softwareVersions.includes(version))
}
