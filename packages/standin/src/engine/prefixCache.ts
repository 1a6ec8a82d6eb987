/** A prefix was added to the cache (`present`) or evicted from it. */
export interface CacheChange {
  readonly sequence: number
  readonly model: string
  readonly prefixHint: string
  readonly present: boolean
  readonly atMs: number
}

/** Cached prefixes, least recently used first, and the recent changes that readers can query. */
export interface PrefixCache {
  readonly entries: ReadonlyMap<string, { readonly model: string, readonly prefixHint: string }>
  readonly changes: readonly CacheChange[]
  readonly nextSequence: number
}

/** Maximum number of changes that are retained; a reader further behind sees a gap. */
const MAX_CHANGES = 1000

export const EMPTY_CACHE: PrefixCache = { entries: new Map(), changes: [], nextSequence: 1 }

const cacheKey = (model: string, prefixHint: string): string => `${model}\u0000${prefixHint}`

export const hasPrefix = (cache: PrefixCache, model: string, prefixHint: string): boolean =>
  cache.entries.has(cacheKey(model, prefixHint))

const recordChange = (cache: PrefixCache, model: string, prefixHint: string, present: boolean, atMs: number): PrefixCache => ({
  ...cache,
  changes: [...cache.changes, { sequence: cache.nextSequence, model, prefixHint, present, atMs }].slice(-MAX_CHANGES),
  nextSequence: cache.nextSequence + 1
})

/** Makes a prefix the most recently used one and evicts the least recently used beyond `maxCount`. */
export const touchPrefix = (cache: PrefixCache, model: string, prefixHint: string, maxCount: number, atMs: number): PrefixCache => {
  const key = cacheKey(model, prefixHint)
  const isCached = cache.entries.has(key)
  const entries = new Map(cache.entries)
  entries.delete(key)
  entries.set(key, { model, prefixHint })
  let next: PrefixCache = { ...cache, entries }
  if (!isCached) next = recordChange(next, model, prefixHint, true, atMs)
  for (const [oldest, entry] of entries) {
    if (entries.size <= maxCount) break
    entries.delete(oldest)
    next = recordChange(next, entry.model, entry.prefixHint, false, atMs)
  }
  return next
}

/** Removes all prefixes of a model that was unloaded. */
export const removeModelPrefixes = (cache: PrefixCache, model: string, atMs: number): PrefixCache => {
  let next = cache
  for (const [key, entry] of cache.entries) {
    if (entry.model !== model) continue
    const entries = new Map(next.entries)
    entries.delete(key)
    next = recordChange({ ...next, entries }, model, entry.prefixHint, false, atMs)
  }
  return next
}

/** Returns the changes after a sequence number that are at least `delayMs` old; every `gapEvery`-th change is left out. */
export const listReportableChanges = (cache: PrefixCache, afterSequence: number, delayMs: number, gapEvery: number, nowMs: number): readonly CacheChange[] =>
  cache.changes.filter(change =>
    change.sequence > afterSequence &&
    nowMs - change.atMs >= delayMs &&
    (gapEvery === 0 || change.sequence % gapEvery !== 0))
