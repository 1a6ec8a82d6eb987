import { MAX_PREFIXES } from './constants.js'

import type { PromptPart } from '@figmount/fleet'

/** The prompt prefixes that servers have computed for one router and probably still cache. */
export interface PrefixIndex {
  /** Leading tokens of a prompt that the server probably has in its cache. */
  readonly cachedTokens: (serverId: string, owner: string, parts: readonly PromptPart[]) => number
  readonly remember: (serverId: string, owner: string, parts: readonly PromptPart[]) => void
  readonly forget: (serverId: string) => void
  /** Drops the prefixes of models that the server no longer holds. */
  readonly retainModels: (serverId: string, modelNames: ReadonlySet<string>) => void
}

const modelOf = (owner: string): string => owner.split('/')[0] ?? ''

/** Creates the index of one router. `owner` is the model, followed by a slash and the adapter: caches are not shared across them. */
export const createPrefixIndex = (): PrefixIndex => {
  const servers = new Map<string, Map<string, Set<string>>>()

  const keysOf = (parts: readonly PromptPart[]): readonly string[] => {
    const keys: string[] = []
    let key = ''
    for (const part of parts) {
      key = `${key}/${part.partId}`
      keys.push(key)
    }
    return keys
  }

  return {
    cachedTokens: (serverId, owner, parts) => {
      const known = servers.get(serverId)?.get(owner)
      if (!known) return 0
      let tokens = 0
      const keys = keysOf(parts)
      for (const [index, part] of parts.entries()) {
        if (!known.has(keys[index] ?? '')) break
        tokens += part.tokenCount
      }
      return tokens
    },
    remember: (serverId, owner, parts) => {
      const owners = servers.get(serverId) ?? new Map<string, Set<string>>()
      servers.set(serverId, owners)
      const known = owners.get(owner) ?? new Set<string>()
      owners.set(owner, known)
      for (const key of keysOf(parts)) {
        known.delete(key)
        known.add(key)
      }
      for (const key of known) {
        if (known.size <= MAX_PREFIXES) break
        known.delete(key)
      }
    },
    forget: serverId => { servers.delete(serverId) },
    retainModels: (serverId, modelNames) => {
      const owners = servers.get(serverId)
      if (!owners) return
      for (const owner of [...owners.keys()]) {
        if (!modelNames.has(modelOf(owner))) owners.delete(owner)
      }
    }
  }
}
