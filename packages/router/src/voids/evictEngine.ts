import type { EngineReachability } from '@figmount/records'
import type { AbsentEngine, EngineInventory, Eviction } from './types.js'

const hasUnloadedAll = (inventory: EngineInventory, eviction: Eviction): boolean =>
  !eviction.models.some(model => inventory.models.includes(model))

/**
 * Checks the engine of an unlisted instance. If the engine answers and enforces fences, unloads the
 * models of the instance's rights under a newer fence.
 *
 * The platform may have dropped the instance while its engine still has the model loaded; a new grant
 * would then let another engine load one replica too many. Rights may only be voided if the engine
 * does not answer, or has confirmed the unload and rejects older orders.
 */
export const evictEngine = async (engine: AbsentEngine, eviction: Eviction): Promise<EngineReachability> => {
  const found = await engine.inventory().run()
  if (found.isLeft()) return 'unreachable'
  // An engine that does not enforce fences could be ordered by its isolated agent to load the model again.
  if (!found.unsafeCoerce().enforcesFence) return 'reachable'
  for (const model of eviction.models) await engine.unload(model, eviction.fence).run()
  const left = await engine.inventory().run()
  return left.map(inventory => hasUnloadedAll(inventory, eviction)).orDefault(false) ? 'fenced' : 'reachable'
}
