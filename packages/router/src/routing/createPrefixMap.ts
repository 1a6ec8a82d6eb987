import type { InstanceName, ModelId } from '@figmount/base'

/** Where prompt prefixes were last sent. */
export interface PrefixMap {
  readonly note: (model: ModelId, prefixHint: string, instance: InstanceName) => void
  readonly holderOf: (model: ModelId, prefixHint: string) => InstanceName | undefined
}

/** Prefixes remembered; about 200 bytes each, 4 MB in all. */
const MAX_PREFIXES = 20_000

/**
 * Remembers the agent that each prompt prefix was last sent to: an engine that has served a
 * prefix has it cached, long before its cache events say so. The longest unused is forgotten.
 */
export const createPrefixMap = (maxCount = MAX_PREFIXES): PrefixMap => {
  const holders = new Map<string, InstanceName>()
  const keyOf = (model: ModelId, prefixHint: string): string => `${model}\u0000${prefixHint}`
  return {
    note: (model, prefixHint, instance) => {
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
