import type { ChooseVictims, ResidentView } from './types.js'

/** Baseline: least recently used first, except residents that are pinned, running or waited for. */
export const evictLeastRecent: ChooseVictims = (residents, neededMb) => {
  const candidates = residents
    .filter(resident => !resident.pinned && resident.runningCount === 0 && resident.queuedCount === 0)
    .sort((a, b) => b.idleMs - a.idleMs)
  const victims: ResidentView[] = []
  let freedMb = 0
  for (const candidate of candidates) {
    if (freedMb >= neededMb) break
    victims.push(candidate)
    freedMb += candidate.memoryMb
  }
  return freedMb >= neededMb ? victims : undefined
}
