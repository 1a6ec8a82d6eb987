import type { ModelId } from '@figmount/base'
import type { ChooseVictims, ResidentView } from './types.js'

const MS_PER_HOUR = 3_600_000
/** Factor per priority step by which a caller's wait counts more, as in the order of loads. */
const PRIORITY_STEP = 1.5
/** Minimum idle time in the estimate of the expected rate. A model that was used more recently counts as used again soon. */
const RECENT_MS = 60_000

/** Residents that are evicted together: a model with its adapters, or a single adapter. */
interface EvictionUnit {
  readonly resident: ResidentView
  readonly members: readonly ResidentView[]
  readonly memoryMb: number
  readonly lossPerMb: number
}

const isEvictable = (resident: ResidentView): boolean =>
  !resident.pinned && resident.runningCount === 0 && resident.queuedCount === 0

/** Expected uses per hour: the known rate, or the inverse of the idle time when that is higher. */
const expectedPerHour = (resident: ResidentView): number =>
  Math.max(resident.requestsPerHour, MS_PER_HOUR / Math.max(RECENT_MS, resident.idleMs))

/** Expected waiting time per hour caused by unloading it, weighted by priority. */
const lossPerHour = (resident: ResidentView): number =>
  expectedPerHour(resident) * resident.reloadMs * PRIORITY_STEP ** resident.priority

const groupByModel = (residents: readonly ResidentView[]): ReadonlyMap<ModelId, readonly ResidentView[]> => {
  const groups = new Map<ModelId, ResidentView[]>()
  for (const resident of residents) {
    const group = groups.get(resident.model)
    if (group) group.push(resident)
    else groups.set(resident.model, [resident])
  }
  return groups
}

const makeUnit = (resident: ResidentView, groups: ReadonlyMap<ModelId, readonly ResidentView[]>): EvictionUnit => {
  const members = resident.adapter === '' ? groups.get(resident.model) ?? [] : [resident]
  const memoryMb = members.reduce((sum, one) => sum + one.memoryMb, 0)
  const lossSum = members.reduce((sum, one) => sum + lossPerHour(one), 0)
  return { resident, members, memoryMb, lossPerMb: lossSum / Math.max(1, memoryMb) }
}

const compareLoss = (a: EvictionUnit, b: EvictionUnit): number => a.lossPerMb - b.lossPerMb

const takeUntilFree = (units: readonly EvictionUnit[], neededMb: number): readonly EvictionUnit[] | undefined => {
  const taken: EvictionUnit[] = []
  const evicted = new Set<ResidentView>()
  let freedMb = 0
  for (const unit of units) {
    if (freedMb >= neededMb) break
    const fresh = unit.members.filter(member => !evicted.has(member))
    if (fresh.length === 0) continue
    for (const member of fresh) evicted.add(member)
    freedMb += fresh.reduce((sum, member) => sum + member.memoryMb, 0)
    taken.push(unit)
  }
  return freedMb >= neededMb ? taken : undefined
}

const memoryOf = (units: readonly EvictionUnit[]): number => {
  const members = new Set(units.flatMap(unit => unit.members))
  return [...members].reduce((sum, member) => sum + member.memoryMb, 0)
}

/** Removes victims that later, larger ones made unnecessary, starting with the one of the highest loss. */
const dropUnneeded = (taken: readonly EvictionUnit[], neededMb: number): readonly EvictionUnit[] => {
  let remaining = taken
  for (const unit of [...taken].sort((a, b) => b.lossPerMb - a.lossPerMb)) {
    const rest = remaining.filter(one => one !== unit)
    if (memoryOf(rest) >= neededMb) remaining = rest
  }
  return remaining
}

/**
 * Evicts the residents with the least loss per MB: expected uses per hour times reload time times priority, divided by size
 * (the greedy-dual-size-frequency rule without its clock, because `requestsPerHour` already decays).
 *
 * Load pattern: more models than fit in memory, with different reload times. Evicting the least recently used may hit
 * one that takes minutes to load, while a small one reloads from the local cache in a second. Never evicts residents that
 * are pinned, running or waited for, or a model with such an adapter.
 */
export const evictLeastLoss: ChooseVictims = (residents, neededMb) => {
  if (neededMb <= 0) return []
  const groups = groupByModel(residents)
  const units = residents
    .map(resident => makeUnit(resident, groups))
    .filter(unit => unit.members.every(isEvictable))
    .sort(compareLoss)
  const taken = takeUntilFree(units, neededMb)
  if (!taken) return undefined
  const members = new Set(dropUnneeded(taken, neededMb).flatMap(unit => unit.members))
  return [...members]
}
