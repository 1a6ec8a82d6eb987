import type { InstanceName } from '@figmount/base'

/** Own sends that an agent's last report cannot show yet. */
export interface SendLog {
  /** Notes a send; the returned function says that its attempt has ended. */
  readonly add: (instance: InstanceName, workSeconds: number, nowMs: number) => () => void
  readonly unreportedSeconds: (instance: InstanceName, reportAtMs: number) => number
}

interface Send {
  readonly atMs: number
  readonly workSeconds: number
}

/** A report that came this soon after a send was made before the send arrived. */
const TRAVEL_MS = 20

/**
 * Remembers own sends until a report shows them or their attempt has ended. Without it every
 * request of a burst goes to the agent whose last report looked best. The router's bound on
 * admitted requests bounds the log.
 */
export const createSendLog = (): SendLog => {
  const sends = new Map<InstanceName, Set<Send>>()

  const dropReported = (instance: InstanceName, known: Set<Send>, reportAtMs: number): void => {
    for (const send of known) {
      if (send.atMs > reportAtMs - TRAVEL_MS) break
      known.delete(send)
    }
    if (known.size === 0) sends.delete(instance)
  }

  return {
    add: (instance, workSeconds, nowMs) => {
      const known = sends.get(instance) ?? new Set<Send>()
      sends.set(instance, known)
      const send = { atMs: nowMs, workSeconds }
      known.add(send)
      return () => { known.delete(send) }
    },
    unreportedSeconds: (instance, reportAtMs) => {
      const known = sends.get(instance)
      if (!known) return 0
      dropReported(instance, known, reportAtMs)
      let seconds = 0
      for (const send of known) seconds += send.workSeconds
      return seconds
    }
  }
}
