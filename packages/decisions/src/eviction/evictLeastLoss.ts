import type { ModelId } from '@figmount/base'
import type { ChooseVictims, ResidentView } from './types.js'

const MS_PER_HOUR = 3_600_000
/** Each priority step makes a caller's wait count this much more, as in the order of loads. */
const PRIORITY_STEP = 1.5
/** A model that was used this recently counts as used again soon, whatever its rate says. */
const RECENT_MS = 60_000

/** A model with its adapters, or one adapter: what goes together. */
interface Unit {
  readonly resident: ResidentView
  readonly members: readonly ResidentView[]
  readonly memoryMb: number
  readonly lossPerMb: number
}

const isFree = (resident: ResidentView): boolean =>
  !resident.pinned && resident.runningCount === 0 && resident.queuedCount === 0

/** Uses an hour to expect: the known rate, or one over the idle time when it was used more recently than the rate explains. */
const expectedPerHour = (resident: ResidentView): number =>
  Math.max(resident.requestsPerHour, MS_PER_HOUR / Math.max(RECENT_MS, resident.idleMs))

/** Expected waiting time an hour that unloading it brings about, weighted by priority. */
const loss = (resident: ResidentView): number =>
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

const makeUnit = (resident: ResidentView, groups: ReadonlyMap<ModelId, readonly ResidentView[]>): Unit => {
  const members = resident.adapter === '' ? groups.get(resident.model) ?? [] : [resident]
  const memoryMb = members.reduce((sum, one) => sum + one.memoryMb, 0)
  const lossSum = members.reduce((sum, one) => sum + loss(one), 0)
  return { resident, members, memoryMb, lossPerMb: lossSum / Math.max(1, memoryMb) }
}

const byLoss = (a: Unit, b: Unit): number => a.lossPerMb - b.lossPerMb

const takeUntilFree = (units: readonly Unit[], neededMb: number): readonly Unit[] | undefined => {
  const taken: Unit[] = []
  const gone = new Set<ResidentView>()
  let freedMb = 0
  for (const unit of units) {
    if (freedMb >= neededMb) break
    const fresh = unit.members.filter(member => !gone.has(member))
    if (fresh.length === 0) continue
    for (const member of fresh) gone.add(member)
    freedMb += fresh.reduce((sum, member) => sum + member.memoryMb, 0)
    taken.push(unit)
  }
  return freedMb >= neededMb ? taken : undefined
}

const memoryOf = (units: readonly Unit[]): number => {
  const members = new Set(units.flatMap(unit => unit.members))
  return [...members].reduce((sum, member) => sum + member.memoryMb, 0)
}

/** Gives back what a later, larger victim made needless, the dearest first. */
const withoutNeedless = (taken: readonly Unit[], neededMb: number): readonly Unit[] => {
  let kept = taken
  for (const unit of [...taken].sort((a, b) => b.lossPerMb - a.lossPerMb)) {
    const rest = kept.filter(one => one !== unit)
    if (memoryOf(rest) >= neededMb) kept = rest
  }
  return kept
}

/**
 * Unloads what loses least for each MB: expected uses an hour times reload time times priority, over its size (the
 * greedy-dual-size-frequency rule without its clock, since `requestsPerHour` is decayed already).
 *
 * Load pattern: more models than memory, cached unevenly. Without it the least recently used goes, though it may be
 * the one that takes minutes to fetch, while a small one beside it comes back from the local cache in a second.
 * Nothing that is pinned, runs or is waited for is ever chosen, nor a model one of whose adapters is.
 */
export const evictLeastLoss: ChooseVictims = (residents, neededMb) => {
  if (neededMb <= 0) return []
  const groups = groupByModel(residents)
  const units = residents
    .map(resident => makeUnit(resident, groups))
    .filter(unit => unit.members.every(isFree))
    .sort(byLoss)
  const taken = takeUntilFree(units, neededMb)
  if (!taken) return undefined
  const members = new Set(withoutNeedless(taken, neededMb).flatMap(unit => unit.members))
  return [...members]
}
