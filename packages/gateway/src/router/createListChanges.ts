import type { FeedRecord, ServerEntry, StorePort } from '@figmount/fleet'

interface Options {
  readonly decodeServer: StorePort['decodeServer']
  /** An agent tells of the engine: what the list says of its models is not needed. */
  readonly hasAgentState: (serverId: string) => boolean
}

/** Finds what matters among the records of the list, most of which only say that a server lives. */
export interface ListChanges {
  /** The records that say something else of their servers than the ones before. */
  readonly take: (records: readonly FeedRecord[]) => readonly FeedRecord[]
}

/** What a record says of its server, as texts to compare by. */
interface RecordSummary {
  readonly server: string
  readonly models: string
}

const GONE: RecordSummary = { server: 'gone', models: '' }
const UNREADABLE: RecordSummary = { server: 'unreadable', models: '' }

const summarise = ({ startedAtUnixMs, serviceName, address, isDraining, models }: ServerEntry): RecordSummary =>
  ({ server: JSON.stringify([startedAtUnixMs, serviceName, address, isDraining]), models: JSON.stringify(models) })

/** Makes the finder of one router. */
export const createListChanges = ({ decodeServer, hasAgentState }: Options): ListChanges => {
  const known = new Map<string, RecordSummary>()

  const summaryOf = ({ key, value }: FeedRecord): RecordSummary =>
    value ? decodeServer(key, value).map(summarise).orDefault(UNREADABLE) : GONE

  const isChange = (record: FeedRecord): boolean => {
    const before = known.get(record.key) ?? GONE
    const now = summaryOf(record)
    if (now === GONE) known.delete(record.key)
    else known.set(record.key, now)
    return now.server !== before.server || (now.models !== before.models && !hasAgentState(record.key))
  }

  return { take: records => records.filter(isChange) }
}
