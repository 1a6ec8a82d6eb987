import type { InstanceName, ModelId } from '@figmount/base'

/** The agents to which prompt prefixes were last sent. */
export interface PrefixMap {
  readonly add: (model: ModelId, prefixHint: string, instance: InstanceName) => void
  readonly holderOf: (model: ModelId, prefixHint: string) => InstanceName | undefined
}

/** Maximum number of prefixes; about 200 bytes each, 4 MB in total. */
const MAX_PREFIXES = 20_000

/**
 * Maps each prompt prefix to the agent it was last sent to. An engine has a prefix cached as soon as
 * it has served it, long before its cache events report this. The least recently used prefix is evicted.
 */
export const createPrefixMap = (maxCount = MAX_PREFIXES): PrefixMap => {
  const holders = new Map<string, InstanceName>()
  const keyOf = (model: ModelId, prefixHint: string): string => `${model}\u0000${prefixHint}`
  return {
    add: (model, prefixHint, instance) => {
      if (prefixHint === '') return
      const key = keyOf(model, prefixHint)
      holders.delete(key)
      holders.set(key, instance)
      if (holders.size <= maxCount) return
      const [oldest] = holders.keys()
      if (oldest) holders.delete(oldest)
    },
    holderOf: (model, prefixHint) => prefixHint === '' ? undefined : holders.get(keyOf(model, prefixHint))
  }
}
