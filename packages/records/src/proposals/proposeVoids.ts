import { LIST_ABSENT_MS, VOID_BATCH } from './constants.js'

import type { InstanceName, LogOffset } from '@figmount/base'
import type { AgreedState } from '../fold/types.js'
import type { NewRecord } from '../log/types.js'
import type { EngineReach } from './types.js'
import type { Absences } from './trackAbsences.js'

interface VoidFacts {
  readonly mayPropose: (target: string) => boolean
  /** What the instance's engine last said to this process. */
  readonly engineOf: (instance: InstanceName) => EngineReach
}

const isSettled = (state: AgreedState, instance: InstanceName): boolean => {
  if (!state.agents.get(instance)?.gone) return false
  for (const right of state.rights.values()) {
    if (right.status !== 'free' && right.holder === instance) return false
  }
  return true
}

/**
 * Instances that have been off the list for long enough on this process's own clock.
 * Their engines are worth looking for.
 */
export const findAbsent = (state: AgreedState, absences: Absences): readonly InstanceName[] => {
  const absent: InstanceName[] = []
  for (const [instance, sinceMs] of absences.sinceMs) {
    if (absences.lastReadMs - sinceMs < LIST_ABSENT_MS) continue
    if (!isSettled(state, instance)) absent.push(instance)
  }
  return absent
}

/**
 * Voids for instances that are gone: off the list for LIST_ABSENT_MS, and the engine does not
 * answer or has been fenced. While an engine answers that ignores fences, nothing is void: its agent,
 * cut off from the log, could let it load again after any unload, so the bound on replicas wins.
 */
export const proposeVoids = (state: AgreedState, absences: Absences, facts: VoidFacts): readonly NewRecord[] => {
  const voids: NewRecord[] = []
  for (const instance of findAbsent(state, absences)) {
    if (voids.length >= VOID_BATCH) break
    if (facts.engineOf(instance) === 'reachable' || !facts.mayPropose(instance)) continue
    voids.push({ kind: 'instance.void', instance, upToOffset: (state.nextOffset - 1) as LogOffset })
  }
  return voids
}
