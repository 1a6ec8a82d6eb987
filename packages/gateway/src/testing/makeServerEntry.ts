import type { ServerEntry } from '@figmount/fleet'

/** The entry of a ready server without models, for tests. */
export const makeServerEntry = (serverId: string, given: Partial<ServerEntry> = {}): ServerEntry => ({
  serverId,
  startedAtUnixMs: undefined,
  serviceName: 's',
  address: `${serverId}:1`,
  dataCentre: 'east',
  softwareVersion: 'v1',
  slots: 1,
  heartbeatNumber: 1,
  isDraining: false,
  models: [],
  ...given
})
