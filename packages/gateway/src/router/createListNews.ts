import type { FeedRecord, ServerEntry, StorePort } from '@figmount/fleet'

interface Options {
  readonly decodeServer: StorePort['decodeServer']
  /** An agent tells of the engine: what the list says of its models is not needed. */
  readonly isHeard: (serverId: string) => boolean
}

/** Finds what matters among the records of the list, most of which only say that a server lives. */
export interface ListNews {
  /** The records that say something else of their servers than the ones before. */
  readonly take: (records: readonly FeedRecord[]) => readonly FeedRecord[]
}

/** What a record says of its server, as texts to compare by. */
interface Said {
  readonly server: string
  readonly models: string
}

const GONE: Said = { server: 'gone', models: '' }
const UNREADABLE: Said = { server: 'unreadable', models: '' }

const describe = ({ startedAtUnixMs, serviceName, address, isDraining, models }: ServerEntry): Said =>
  ({ server: JSON.stringify([startedAtUnixMs, serviceName, address, isDraining]), models: JSON.stringify(models) })

/** Makes the finder of one router. */
export const createListNews = ({ decodeServer, isHeard }: Options): ListNews => {
  const known = new Map<string, Said>()

  const saidBy = ({ key, value }: FeedRecord): Said =>
    value ? decodeServer(key, value).map(describe).orDefault(UNREADABLE) : GONE

  const isNews = (record: FeedRecord): boolean => {
    const before = known.get(record.key) ?? GONE
    const now = saidBy(record)
    if (now === GONE) known.delete(record.key)
    else known.set(record.key, now)
    return now.server !== before.server || (now.models !== before.models && !isHeard(record.key))
  }

  return { take: records => records.filter(isNews) }
}
