import type { InstanceName } from '@figmount/base'

/** Sends of this router that the last report of an agent does not cover yet. */
export interface SendLog {
  /** Records a send; the returned function removes it when its attempt has ended. */
  readonly add: (instance: InstanceName, workSeconds: number, nowMs: number) => () => void
  readonly unreportedSeconds: (instance: InstanceName, reportAtMs: number) => number
}

interface Send {
  readonly atMs: number
  readonly workSeconds: number
}

/** A report received within this time after a send was created before the send arrived. */
const TRANSIT_MS = 20

/**
 * Tracks the sends of this router until a report covers them or their attempt has ended. Otherwise
 * every request of a burst would go to the agent with the best last report. The number of entries is
 * limited by the number of requests that the router admits.
 */
export const createSendLog = (): SendLog => {
  const sends = new Map<InstanceName, Set<Send>>()

  const dropReported = (instance: InstanceName, pending: Set<Send>, reportAtMs: number): void => {
    for (const send of pending) {
      if (send.atMs > reportAtMs - TRANSIT_MS) break
      pending.delete(send)
    }
    if (pending.size === 0) sends.delete(instance)
  }

  return {
    add: (instance, workSeconds, nowMs) => {
      const pending = sends.get(instance) ?? new Set<Send>()
      sends.set(instance, pending)
      const send = { atMs: nowMs, workSeconds }
      pending.add(send)
      return () => { pending.delete(send) }
    },
    unreportedSeconds: (instance, reportAtMs) => {
      const pending = sends.get(instance)
      if (!pending) return 0
      dropReported(instance, pending, reportAtMs)
      let seconds = 0
      for (const send of pending) seconds += send.workSeconds
      return seconds
    }
  }
}
