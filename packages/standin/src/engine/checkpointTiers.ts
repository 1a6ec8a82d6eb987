import type { Tier } from './types.js'

/** Sizes in MB of the checkpoints in one tier by name, least recently used first. */
type TierContents = ReadonlyMap<string, number>

/** Checkpoints that are cached in host memory and on disk. */
export interface CheckpointTiers {
  readonly memory: TierContents
  readonly disk: TierContents
}

export const checkpointName = (model: string, version: string): string => `${model}@${version}`

const createTierContents = (names: readonly string[]): TierContents => new Map(names.map(name => [name, 0]))

export const createTiers = (memoryNames: readonly string[], diskNames: readonly string[]): CheckpointTiers =>
  ({ memory: createTierContents(memoryNames), disk: createTierContents(diskNames) })

export const findTier = (tiers: CheckpointTiers, name: string): Tier => {
  if (tiers.memory.has(name)) return 'memory'
  return tiers.disk.has(name) ? 'disk' : 'remote'
}

const addToTier = (contents: TierContents, name: string, sizeMb: number, capacityMb: number): TierContents => {
  const next = new Map(contents)
  next.delete(name)
  if (sizeMb > capacityMb) return next
  next.set(name, sizeMb)
  let usedMb = [...next.values()].reduce((sum, mb) => sum + mb, 0)
  for (const [oldest, mb] of next) {
    if (usedMb <= capacityMb) break
    next.delete(oldest)
    usedMb -= mb
  }
  return next
}

/** Adds a used checkpoint to each tier that is large enough for it, and evicts the least recently used ones beyond the tier's capacity. */
export const cacheCheckpoint = (tiers: CheckpointTiers, name: string, sizeMb: number, memoryCapacityMb: number, diskCapacityMb: number): CheckpointTiers => ({
  memory: addToTier(tiers.memory, name, sizeMb, memoryCapacityMb),
  disk: addToTier(tiers.disk, name, sizeMb, diskCapacityMb)
})
