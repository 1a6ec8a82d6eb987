import type { TimerService } from '@figmount/base'

/** Time in which agents get a configuration by their own reads, and their states say so. */
const OWN_READ_MS = 500

interface Options {
  readonly timers: TimerService
  /** Version of the router's configuration; -1 if there is none. */
  readonly ownVersion: () => number
  /** Tells one agent which version the router has. */
  readonly tell: (address: string, version: number) => void
}

/** Tells agents of a configuration that they lack. */
export interface LaggardNotices {
  /** An agent's state names the version that it has. */
  readonly noteVersion: (address: string, version: number) => void
  readonly lose: (address: string) => void
  /** Tells those agents, once for each version, that have not got the router's configuration in time. Called all the time. */
  readonly review: () => void
}

/**
 * Creates the notices of one router.
 *
 * Guards against agents that keep an old configuration, and count limits by it, as their own reads wait on dead connections: a router relays
 * what it has to two agents alone.
 */
export const createLaggardNotices = ({ timers, ownVersion, tell }: Options): LaggardNotices => {
  const versions = new Map<string, number>()
  const toldVersions = new Map<string, number>()
  let held = { version: -1, sinceMs: -Infinity }

  return {
    noteVersion: (address, version) => { versions.set(address, version) },
    lose: address => {
      versions.delete(address)
      toldVersions.delete(address)
    },
    review: () => {
      const version = ownVersion()
      if (version !== held.version) held = { version, sinceMs: timers.nowMs() }
      if (timers.nowMs() - held.sinceMs < OWN_READ_MS) return
      for (const [address, agentVersion] of versions) {
        if (agentVersion >= version || toldVersions.get(address) === version) continue
        toldVersions.set(address, version)
        tell(address, version)
      }
    }
  }
}
