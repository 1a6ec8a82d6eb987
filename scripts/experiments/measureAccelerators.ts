import type { TimedEvent } from '@figmount/timeline'

const MS_PER_SECOND = 1000

/** Accelerator time and loads of a run. */
export interface AcceleratorUse {
  readonly loadCount: number
  readonly loadSeconds: number
  /** Time during which models were resident, summed over replicas. */
  readonly residentSeconds: number
  /** The part of `residentSeconds` during which the replica ran nothing. */
  readonly idleSeconds: number
  readonly slowestLoadMs: number
}

interface Replica {
  readonly readyAtMs: number
  readonly runningCount: number
  readonly busySinceMs: number
  readonly busyMs: number
}

const keyOf = (instance: string, model: string): string => `${instance}\u0000${model}`

/** Sums accelerator use from the engines' events; replicas still resident are counted until the last event. */
export const measureAccelerators = (events: readonly TimedEvent[]): AcceleratorUse => {
  const endMs = events.at(-1)?.atMs ?? 0
  const loading = new Map<string, number>()
  const replicas = new Map<string, Replica>()
  let loadCount = 0
  let loadMs = 0
  let slowestLoadMs = 0
  let residentMs = 0
  let idleMs = 0

  const endResidence = (key: string, atMs: number): void => {
    const replica = replicas.get(key)
    if (!replica) return
    const busyMs = replica.busyMs + (replica.runningCount > 0 ? atMs - replica.busySinceMs : 0)
    residentMs += atMs - replica.readyAtMs
    idleMs += atMs - replica.readyAtMs - busyMs
    replicas.delete(key)
  }

  const changeRunning = (key: string, by: number, atMs: number): void => {
    const replica = replicas.get(key)
    if (!replica) return
    const runningCount = Math.max(0, replica.runningCount + by)
    const isNowIdle = replica.runningCount > 0 && runningCount === 0
    replicas.set(key, {
      ...replica,
      runningCount,
      busySinceMs: replica.runningCount === 0 ? atMs : replica.busySinceMs,
      busyMs: isNowIdle ? replica.busyMs + atMs - replica.busySinceMs : replica.busyMs
    })
  }

  for (const { event, atMs } of events) {
    const key = keyOf(event.instance, event.model ?? '')
    if (event.name === 'loadStarted') loading.set(key, atMs)
    if (event.name === 'loadFinished') {
      const tookMs = atMs - (loading.get(key) ?? atMs)
      loadCount += 1
      loadMs += tookMs
      slowestLoadMs = Math.max(slowestLoadMs, tookMs)
      replicas.set(key, { readyAtMs: atMs, runningCount: 0, busySinceMs: 0, busyMs: 0 })
    }
    if (event.name === 'modelUnloaded') endResidence(key, atMs)
    if (event.name === 'generateStarted') changeRunning(key, 1, atMs)
    if (event.name === 'generateFinished' || event.name === 'generateEnded') changeRunning(key, -1, atMs)
  }
  for (const key of [...replicas.keys()]) endResidence(key, endMs)
  return {
    loadCount,
    loadSeconds: loadMs / MS_PER_SECOND,
    residentSeconds: residentMs / MS_PER_SECOND,
    idleSeconds: idleMs / MS_PER_SECOND,
    slowestLoadMs
  }
}
