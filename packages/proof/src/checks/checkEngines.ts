import { StandinEvent } from '@figmount/standin'
import { match, P } from 'ts-pattern'

import { RigEvent } from '../rig/events.js'

import type { EventRecord } from '@figmount/base'

/** What the engines of a run have held at most. */
export interface EngineFindings {
  readonly loadCounts: ReadonlyMap<string, number>
  /** Largest number of replicas of each model that were loaded or loading at one moment. */
  readonly maxReplicas: ReadonlyMap<string, number>
  /** Events at which an engine's memory was over its capacity. */
  readonly overcommits: readonly EventRecord[]
  /** Number of runs of each prompt. */
  readonly runCounts: ReadonlyMap<string, number>
}

const holderKey = (event: EventRecord): string => `${event.instance} ${event.model}`

const bump = (counts: Map<string, number>, key: string): void => {
  counts.set(key, (counts.get(key) ?? 0) + 1)
}

/** Reads from the engines' own events what they held and ran; nothing that routers or agents say is believed. */
export const checkEngines = (events: readonly EventRecord[]): EngineFindings => {
  const held = new Map<string, string>()
  const loadCounts = new Map<string, number>()
  const maxReplicas = new Map<string, number>()
  const runCounts = new Map<string, number>()
  const overcommits: EventRecord[] = []

  const noteLoad = (event: EventRecord): void => {
    const model = event.model ?? ''
    held.set(holderKey(event), model)
    bump(loadCounts, model)
    const replicaCount = [...held.values()].filter(heldModel => heldModel === model).length
    maxReplicas.set(model, Math.max(maxReplicas.get(model) ?? 0, replicaCount))
  }

  const forgetEngine = (instance: string): void => {
    for (const key of [...held.keys()]) {
      if (key.startsWith(`${instance} `)) held.delete(key)
    }
  }

  // Lines of different processes may be read out of order; all of them run on one clock.
  for (const event of [...events].sort((a, b) => a.atUnixMs - b.atUnixMs)) {
    if ((event.memoryMb ?? 0) > (event.memoryCapacityMb ?? Infinity)) overcommits.push(event)
    match(event.number)
      .with(StandinEvent.loadStarted.number, () => noteLoad(event))
      .with(StandinEvent.loadFailed.number, StandinEvent.modelUnloaded.number, () => { held.delete(holderKey(event)) })
      .with(StandinEvent.generateStarted.number, () => bump(runCounts, event.detail ?? ''))
      .with(RigEvent.processExited.number, () => forgetEngine(event.instance))
      .with(P.number, () => {})
      .exhaustive()
  }
  return { loadCounts, maxReplicas, overcommits, runCounts }
}
