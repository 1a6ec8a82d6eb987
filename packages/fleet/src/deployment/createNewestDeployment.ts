import type { Fault } from '@figmount/base'
import type { FeedRecord } from '../feeds/types.js'
import type { StorePort } from '../ports/types.js'
import type { Deployment } from './types.js'

interface Options {
  readonly store: StorePort
  readonly taken: (deployment: Deployment, record: FeedRecord) => void
  readonly refused: (fault: Fault, record: FeedRecord) => void
}

/** The configuration in force in one process. */
export interface NewestDeployment {
  readonly take: (records: readonly FeedRecord[]) => void
  readonly current: () => Deployment | undefined
  /** The record that holds it. */
  readonly record: () => FeedRecord | undefined
  /** Offset of that record; -1 for none. */
  readonly offset: () => number
}

/** Keeps the newest configuration; an older one never replaces it, whichever way it comes. */
export const createNewestDeployment = ({ store, taken, refused }: Options): NewestDeployment => {
  let current: Deployment | undefined
  let newest: FeedRecord | undefined

  const takeOne = (record: FeedRecord): void => {
    if (!record.value || !store.isDeploymentKey(record.key)) return
    store.decodeDeployment(record.key, record.value).caseOf({
      Left: fault => { refused(fault, record) },
      Right: next => {
        if (current && next.version <= current.version) return
        current = next
        newest = record
        taken(next, record)
      }
    })
  }

  return {
    take: records => { for (const record of records) takeOne(record) },
    current: () => current,
    record: () => newest,
    offset: () => newest?.offset ?? -1
  }
}
