import type { InstanceName } from '@figmount/base'

/** Own sends that an agent's last report cannot show yet. */
export interface SendLog {
  readonly add: (instance: InstanceName, workSeconds: number, nowMs: number) => void
  readonly unreportedSeconds: (instance: InstanceName, reportAtMs: number) => number
}

interface Send {
  readonly atMs: number
  readonly workSeconds: number
}

/** A report that came this soon after a send was made before the send arrived. */
const TRAVEL_MS = 20
/** Sends that are kept for each agent; more than one heartbeat's worth of a burst. */
const MAX_SENDS = 500

/**
 * Remembers own sends until a report shows them. Without it every request of a burst
 * goes to the agent whose last report looked best.
 */
export const createSendLog = (): SendLog => {
  const sends = new Map<InstanceName, readonly Send[]>()

  const unreported = (instance: InstanceName, reportAtMs: number): readonly Send[] =>
    (sends.get(instance) ?? []).filter(send => send.atMs > reportAtMs - TRAVEL_MS)

  return {
    add: (instance, workSeconds, nowMs) => {
      const known = sends.get(instance) ?? []
      sends.set(instance, [...known.slice(1 - MAX_SENDS), { atMs: nowMs, workSeconds }])
    },
    unreportedSeconds: (instance, reportAtMs) => {
      const left = unreported(instance, reportAtMs)
      if (left.length > 0) sends.set(instance, left)
      else sends.delete(instance)
      return left.reduce((sum, send) => sum + send.workSeconds, 0)
    }
  }
}
