import { PromiseName } from './types.js'

import type { TimedEvent } from '../ordering/orderEvents.js'
import type { PromiseCheck, Violation } from './types.js'

/** Models that each backend server holds or loads, by instance, from the engines' own events. */
type ModelsByInstance = Map<string, Set<string>>

const countReplicas = (modelsByInstance: ModelsByInstance, model: string): number => {
  let count = 0
  for (const models of modelsByInstance.values()) {
    if (models.has(model)) count += 1
  }
  return count
}

const modelsOf = (modelsByInstance: ModelsByInstance, instance: string): Set<string> => {
  const existing = modelsByInstance.get(instance)
  if (existing) return existing
  const created = new Set<string>()
  modelsByInstance.set(instance, created)
  return created
}

/**
 * The number of backend servers that hold or load a model, counted from the engines' own events, never exceeds the maximum that was in
 * force when the latest load of the model was ordered.
 */
export const checkReplicas: PromiseCheck = events => {
  const modelsByInstance: ModelsByInstance = new Map()
  const maxReplicas = new Map<string, number>()
  const violations: Violation[] = []

  const applyEvent = (timed: TimedEvent): void => {
    const { event } = timed
    const model = event.model ?? ''
    if (event.name === 'loadOrdered' && event.maxReplicas !== undefined) maxReplicas.set(model, event.maxReplicas)
    // The memory of an engine that has ended is empty, whether or not the engine is started again.
    if (event.name === 'engineStarted' || event.name === 'processExited') modelsByInstance.delete(event.instance)
    if (event.name === 'loadFailed' && event.role === 'engine') modelsOf(modelsByInstance, event.instance).delete(model)
    if (event.name === 'modelUnloaded') modelsOf(modelsByInstance, event.instance).delete(model)
    if (event.name !== 'loadStarted') return
    modelsOf(modelsByInstance, event.instance).add(model)
    const count = countReplicas(modelsByInstance, model)
    const maxCount = maxReplicas.get(model)
    if (maxCount === undefined || count <= maxCount) return
    violations.push({ promise: PromiseName.Replicas, detail: `${model}: ${count} replicas, ${maxCount} allowed`, evidence: [timed] })
  }

  for (const timed of events) applyEvent(timed)
  return violations
}
