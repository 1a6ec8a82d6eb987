import type { Store } from './store.js'

const HEARTBEAT_MS = 1_200

/** What an entry of the platform's list says beside what all entries share. */
export interface ListedServer {
  readonly serverId: string
  readonly service: string
  readonly address: string
  readonly version: string
  readonly slots: number
  readonly born: number
  /** The models that it holds now; none for a plain server. */
  readonly models: () => readonly object[]
}

/** Heartbeats of all servers, so that a server's go on where it changes its state. */
const sequences = new WeakMap<ListedServer, number>()

/** Writes a server's entry now and with each heartbeat until the returned function is called; `isRemoved` removes it then. */
export const listServer = (store: Store, server: ListedServer, state = 'ready'): ((isRemoved: boolean) => void) => {
  const write = (): void => {
    const sequence = (sequences.get(server) ?? 0) + 1
    sequences.set(server, sequence)
    store.put('keyed.servers', server.serverId, {
      service: server.service,
      address: server.address,
      zone: 'east',
      version: server.version,
      slots: server.slots,
      state,
      'cold-remaining-ms': 0,
      sequence,
      born: server.born,
      models: server.models()
    })
  }
  write()
  const timer = setInterval(write, HEARTBEAT_MS)
  return isRemoved => {
    clearInterval(timer)
    if (isRemoved) store.remove('keyed.servers', server.serverId)
  }
}
