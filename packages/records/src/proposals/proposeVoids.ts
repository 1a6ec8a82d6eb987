import { MIN_LIST_ABSENCE_MS, MAX_VOIDS_PER_ROUND } from './constants.js'

import type { InstanceName, LogOffset } from '@figmount/base'
import type { AgreedState } from '../fold/types.js'
import type { NewRecord } from '../log/types.js'
import type { EngineReachability } from './types.js'
import type { Absences } from './trackAbsences.js'

interface VoidOptions {
  readonly mayPropose: (target: string) => boolean
  /** Result of this process's last attempt to contact the instance's engine. */
  readonly engineOf: (instance: InstanceName) => EngineReachability
}

const isAlreadyVoid = (state: AgreedState, instance: InstanceName): boolean => {
  if (!state.agents.get(instance)?.gone) return false
  for (const right of state.rights.values()) {
    if (right.status !== 'free' && right.holder === instance) return false
  }
  return true
}

/**
 * Instances that have been off the list for MIN_LIST_ABSENCE_MS by this process's own clock and are not void yet.
 * Proposers try to contact their engines.
 */
export const findAbsent = (state: AgreedState, absences: Absences): readonly InstanceName[] => {
  const absent: InstanceName[] = []
  for (const [instance, sinceMs] of absences.sinceMs) {
    if (absences.lastReadMs - sinceMs < MIN_LIST_ABSENCE_MS) continue
    if (!isAlreadyVoid(state, instance)) absent.push(instance)
  }
  return absent
}

/**
 * Proposes voids for instances that were off the list for MIN_LIST_ABSENCE_MS and whose engine does not answer or
 * has been fenced. An engine that answers but does not enforce fences blocks the void: its agent may be cut off
 * from the log and could make it load a model again after any unload. Keeping the limit on replicas takes precedence.
 */
export const proposeVoids = (state: AgreedState, absences: Absences, options: VoidOptions): readonly NewRecord[] => {
  const voids: NewRecord[] = []
  for (const instance of findAbsent(state, absences)) {
    if (voids.length >= MAX_VOIDS_PER_ROUND) break
    if (options.engineOf(instance) === 'reachable' || !options.mayPropose(instance)) continue
    voids.push({ kind: 'instance.void', instance, upToOffset: (state.nextOffset - 1) as LogOffset })
  }
  return voids
}
