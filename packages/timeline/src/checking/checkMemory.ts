import { PromiseName } from './types.js'

import type { PromiseCheck, Violation } from './types.js'

/** The memory in use that an event reports never exceeds the capacity in the same event. */
export const checkMemory: PromiseCheck = events => {
  const violations: Violation[] = []
  for (const timed of events) {
    const { memoryMb, memoryCapacityMb, instance, name } = timed.event
    if (memoryMb === undefined || memoryCapacityMb === undefined || memoryMb <= memoryCapacityMb) continue
    const detail = `${instance}: ${memoryMb} MB of ${memoryCapacityMb} MB at ${name}`
    violations.push({ promise: PromiseName.Memory, detail, evidence: [timed] })
  }
  return violations
}
