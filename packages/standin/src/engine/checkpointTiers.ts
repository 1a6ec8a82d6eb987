import type { Tier } from './types.js'

/** Checkpoints of one tier with their sizes, least recently used first. */
type Shelf = ReadonlyMap<string, number>

/** Which checkpoints lie in host memory and on disk. */
export interface CheckpointTiers {
  readonly memory: Shelf
  readonly disk: Shelf
}

export const checkpointName = (model: string, version: string): string => `${model}@${version}`

const shelfOf = (names: readonly string[]): Shelf => new Map(names.map(name => [name, 0]))

export const makeTiers = (memoryNames: readonly string[], diskNames: readonly string[]): CheckpointTiers =>
  ({ memory: shelfOf(memoryNames), disk: shelfOf(diskNames) })

export const findTier = (tiers: CheckpointTiers, name: string): Tier => {
  if (tiers.memory.has(name)) return 'memory'
  return tiers.disk.has(name) ? 'disk' : 'remote'
}

const putOnShelf = (shelf: Shelf, name: string, sizeMb: number, roomMb: number): Shelf => {
  const next = new Map(shelf)
  next.delete(name)
  if (sizeMb > roomMb) return next
  next.set(name, sizeMb)
  let usedMb = [...next.values()].reduce((sum, mb) => sum + mb, 0)
  for (const [oldest, mb] of next) {
    if (usedMb <= roomMb) break
    next.delete(oldest)
    usedMb -= mb
  }
  return next
}

/** A checkpoint that was used lies in both tiers afterwards, as far as there is room. */
export const keepCheckpoint = (tiers: CheckpointTiers, name: string, sizeMb: number, memoryRoomMb: number, diskRoomMb: number): CheckpointTiers => ({
  memory: putOnShelf(tiers.memory, name, sizeMb, memoryRoomMb),
  disk: putOnShelf(tiers.disk, name, sizeMb, diskRoomMb)
})
