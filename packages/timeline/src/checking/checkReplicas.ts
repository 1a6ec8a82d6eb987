import { PromiseName } from './types.js'

import type { TimedEvent } from '../ordering/orderEvents.js'
import type { PromiseCheck, Violation } from './types.js'

/** What one backend server holds, as its own events tell. */
type HeldByInstance = Map<string, Set<string>>

const holdersOf = (held: HeldByInstance, model: string): number => {
  let count = 0
  for (const models of held.values()) {
    if (models.has(model)) count += 1
  }
  return count
}

const heldBy = (held: HeldByInstance, instance: string): Set<string> => {
  const known = held.get(instance)
  if (known) return known
  const made = new Set<string>()
  held.set(instance, made)
  return made
}

/**
 * Counts the backend servers that hold or load each model, from the engines' own events, against
 * the maximum that was in force when the latest load of the model was ordered.
 */
export const checkReplicas: PromiseCheck = events => {
  const held: HeldByInstance = new Map()
  const maxReplicas = new Map<string, number>()
  const violations: Violation[] = []

  const take = (timed: TimedEvent): void => {
    const { event } = timed
    const model = event.model ?? ''
    if (event.name === 'loadOrdered' && event.maxReplicas !== undefined) maxReplicas.set(model, event.maxReplicas)
    // An engine that has ended holds nothing, whether or not another run of it follows.
    if (event.name === 'engineStarted' || event.name === 'processExited') held.delete(event.instance)
    if (event.name === 'loadFailed' && event.role === 'engine') heldBy(held, event.instance).delete(model)
    if (event.name === 'modelUnloaded') heldBy(held, event.instance).delete(model)
    if (event.name !== 'loadStarted') return
    heldBy(held, event.instance).add(model)
    const count = holdersOf(held, model)
    const allowed = maxReplicas.get(model)
    if (allowed === undefined || count <= allowed) return
    violations.push({ promise: PromiseName.Replicas, detail: `${model}: ${count} replicas, ${allowed} allowed`, evidence: [timed] })
  }

  for (const timed of events) take(timed)
  return violations
}
