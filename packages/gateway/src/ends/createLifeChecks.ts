import { startKeyOf } from '@figmount/fleet'

import type { ProbeResult } from '@figmount/decisions'
import type { ServerEntry, ServerStart } from '@figmount/fleet'

/** A server whose start is checked. */
interface CheckedServer {
  readonly start: ServerStart
  readonly entry: ServerEntry
}

/** Health checks that show whether a start of a server lives. */
export interface LifeChecks {
  /** Resolves with the result of a check that is sent after this call. */
  readonly check: (server: CheckedServer) => Promise<ProbeResult>
}

/** Creates the checks of one router. A start has one check in progress; all answers that end meanwhile share the next one. */
export const createLifeChecks = (probe: (entry: ServerEntry) => Promise<ProbeResult>): LifeChecks => {
  const running = new Map<string, Promise<ProbeResult>>()
  const next = new Map<string, Promise<ProbeResult>>()

  const begin = async (startKey: string, entry: ServerEntry): Promise<ProbeResult> => {
    const check = probe(entry).finally(() => { running.delete(startKey) })
    running.set(startKey, check)
    return await check
  }

  const beginAfter = async (current: Promise<ProbeResult>, startKey: string, entry: ServerEntry): Promise<ProbeResult> => {
    await current
    next.delete(startKey)
    return await begin(startKey, entry)
  }

  return {
    check: async ({ start, entry }) => {
      const startKey = startKeyOf(start)
      const current = running.get(startKey)
      if (!current) return await begin(startKey, entry)
      const shared = next.get(startKey) ?? beginAfter(current, startKey, entry)
      next.set(startKey, shared)
      return await shared
    }
  }
}
