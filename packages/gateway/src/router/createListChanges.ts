import type { FeedRecord, ServerEntry, StorePort } from '@figmount/fleet'

interface Options {
  readonly decodeServer: StorePort['decodeServer']
  /** An agent reports the engine's state, so the models in the list are not needed. */
  readonly hasAgentState: (serverId: string) => boolean
}

/** Filters the records of the list, most of which only renew an unchanged entry. */
export interface ListChanges {
  /** Returns the records whose content differs from the previous one of the same server. */
  readonly take: (records: readonly FeedRecord[]) => readonly FeedRecord[]
  /** Counts the next record of each server as a change. */
  readonly reset: () => void
}

/** The content of a record, as texts to compare. */
interface RecordSummary {
  readonly server: string
  readonly models: string
}

interface KnownRecord extends RecordSummary {
  readonly offset: number
}

const GONE: RecordSummary = { server: 'gone', models: '' }
const UNREADABLE: RecordSummary = { server: 'unreadable', models: '' }

const summarise = ({ startedAtUnixMs, serviceName, address, softwareVersion, isDraining, models }: ServerEntry): RecordSummary =>
  ({ server: JSON.stringify([startedAtUnixMs, serviceName, address, softwareVersion, isDraining]), models: JSON.stringify(models) })

/** Creates the filter of one router. */
export const createListChanges = ({ decodeServer, hasAgentState }: Options): ListChanges => {
  const known = new Map<string, KnownRecord>()

  const summaryOf = ({ key, value }: FeedRecord): RecordSummary =>
    value ? decodeServer(key, value).map(summarise).orDefault(UNREADABLE) : GONE

  const isChange = (record: FeedRecord): boolean => {
    const before = known.get(record.key) ?? { ...GONE, offset: -1 }
    // Guards against an older record that comes late, by a slow read or from another router: a later one that equals it would not be passed on.
    if (record.offset < before.offset) return false
    const now = summaryOf(record)
    known.set(record.key, { ...now, offset: record.offset })
    return now.server !== before.server || (now.models !== before.models && !hasAgentState(record.key))
  }

  return {
    take: records => records.filter(isChange),
    reset: () => { known.clear() }
  }
}
