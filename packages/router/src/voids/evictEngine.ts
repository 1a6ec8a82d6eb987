import type { EngineReach } from '@figmount/records'
import type { AbsentEngine, EngineInventory, Eviction } from './types.js'

const isEmptyOf = (inventory: EngineInventory, eviction: Eviction): boolean =>
  !eviction.models.some(model => inventory.models.includes(model))

/**
 * Looks for the engine of an instance that is off the list and, if it answers and enforces
 * fences, has it unload what the instance held, under a newer fence.
 *
 * Guards against a replica too many: the platform has dropped the instance, but its engine still
 * has the model loaded and a new grant would let another engine load it too. Only an engine that
 * does not answer, or one that has confirmed the unload and refuses older orders, is safe.
 */
export const evictEngine = async (engine: AbsentEngine, eviction: Eviction): Promise<EngineReach> => {
  const found = await engine.inventory().run()
  if (found.isLeft()) return 'unreachable'
  // An engine that ignores fences could be told by its cut-off agent to load again at once.
  if (!found.unsafeCoerce().enforcesFence) return 'reachable'
  for (const model of eviction.models) await engine.unload(model, eviction.fence).run()
  const left = await engine.inventory().run()
  return left.map(inventory => isEmptyOf(inventory, eviction)).orDefault(false) ? 'fenced' : 'reachable'
}
