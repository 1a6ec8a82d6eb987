import { StandinEvent } from '@figmount/standin'
import { match, P } from 'ts-pattern'

import { RigEvent } from '../rig/events.js'

import type { EventRecord } from '@figmount/base'

/** Loads, replicas, memory and runs of the engines during a test. */
export interface EngineFindings {
  readonly loadCounts: ReadonlyMap<string, number>
  /** Largest number of replicas of each model that were loaded or loading at one moment. */
  readonly maxReplicas: ReadonlyMap<string, number>
  /** Events that show an engine's memory above its capacity. */
  readonly overcommits: readonly EventRecord[]
  /** Number of runs of each prompt. */
  readonly runCounts: ReadonlyMap<string, number>
}

const replicaKey = (event: EventRecord): string => `${event.instance} ${event.model}`

const increment = (counts: Map<string, number>, key: string): void => {
  counts.set(key, (counts.get(key) ?? 0) + 1)
}

/** Summarises what engines loaded and ran, from their own events only; events of routers and agents are not trusted. */
export const checkEngines = (events: readonly EventRecord[]): EngineFindings => {
  const loadedModels = new Map<string, string>()
  const loadCounts = new Map<string, number>()
  const maxReplicas = new Map<string, number>()
  const runCounts = new Map<string, number>()
  const overcommits: EventRecord[] = []

  const addLoad = (event: EventRecord): void => {
    const model = event.model ?? ''
    loadedModels.set(replicaKey(event), model)
    increment(loadCounts, model)
    const replicaCount = [...loadedModels.values()].filter(loadedModel => loadedModel === model).length
    maxReplicas.set(model, Math.max(maxReplicas.get(model) ?? 0, replicaCount))
  }

  const dropEngine = (instance: string): void => {
    for (const key of [...loadedModels.keys()]) {
      if (key.startsWith(`${instance} `)) loadedModels.delete(key)
    }
  }

  // Events of different processes may arrive out of order; all processes use the same machine's clock.
  for (const event of [...events].sort((a, b) => a.atUnixMs - b.atUnixMs)) {
    if ((event.memoryMb ?? 0) > (event.memoryCapacityMb ?? Infinity)) overcommits.push(event)
    match(event.number)
      .with(StandinEvent.loadStarted.number, () => addLoad(event))
      .with(StandinEvent.loadFailed.number, StandinEvent.modelUnloaded.number, () => { loadedModels.delete(replicaKey(event)) })
      .with(StandinEvent.generateStarted.number, () => increment(runCounts, event.detail ?? ''))
      .with(RigEvent.processExited.number, () => dropEngine(event.instance))
      .with(P.number, () => {})
      .exhaustive()
  }
  return { loadCounts, maxReplicas, overcommits, runCounts }
}
