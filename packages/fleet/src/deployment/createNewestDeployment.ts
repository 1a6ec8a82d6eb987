import type { Fault } from '@figmount/base'
import type { FeedRecord } from '../feeds/types.js'
import type { StorePort } from '../ports/types.js'
import type { Deployment } from './types.js'

interface Options {
  readonly store: StorePort
  readonly taken: (deployment: Deployment, record: FeedRecord) => void
  /** A record holds an older version than the one in force. */
  readonly outdated?: (deployment: Deployment, record: FeedRecord) => void
  readonly refused: (fault: Fault, record: FeedRecord) => void
}

/** A configuration as it was read, with its version. */
export interface DeploymentCopy {
  readonly version: number
  readonly record: FeedRecord
}

/** The newest configuration that a process has decoded. */
export interface NewestDeployment {
  readonly take: (records: readonly FeedRecord[]) => void
  readonly current: () => Deployment | undefined
  /** The current configuration as it can be sent to a peer. */
  readonly copy: () => DeploymentCopy | undefined
  /** Version of the current configuration; -1 for none. */
  readonly version: () => number
}

/** Keeps the newest configuration. An older version never replaces it, whether it comes from the store or from a peer. */
export const createNewestDeployment = ({ store, taken, refused, outdated }: Options): NewestDeployment => {
  let current: Deployment | undefined
  let newest: FeedRecord | undefined

  const applyRecord = (record: FeedRecord): void => {
    if (!record.value || !store.isDeploymentKey(record.key)) return
    store.decodeDeployment(record.key, record.value).caseOf({
      Left: fault => { refused(fault, record) },
      Right: next => {
        if (current && next.version < current.version) outdated?.(next, record)
        if (current && next.version <= current.version) return
        current = next
        newest = record
        taken(next, record)
      }
    })
  }

  return {
    take: records => { for (const record of records) applyRecord(record) },
    current: () => current,
    copy: () => current && newest && { version: current.version, record: newest },
    version: () => current?.version ?? -1
  }
}
