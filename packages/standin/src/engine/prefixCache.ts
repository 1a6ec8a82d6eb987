/** A change of the prefix cache. */
export interface CacheChange {
  readonly sequence: number
  readonly model: string
  readonly prefixHint: string
  readonly present: boolean
  readonly atMs: number
}

/** Prefixes by recency, and the changes that are still told. */
export interface PrefixCache {
  readonly entries: ReadonlyMap<string, { readonly model: string, readonly prefixHint: string }>
  readonly changes: readonly CacheChange[]
  readonly nextSequence: number
}

/** Changes kept for readers; older ones are gaps. */
const KEPT_CHANGES = 1000

export const EMPTY_CACHE: PrefixCache = { entries: new Map(), changes: [], nextSequence: 1 }

const cacheKey = (model: string, prefixHint: string): string => `${model}\u0000${prefixHint}`

export const hasPrefix = (cache: PrefixCache, model: string, prefixHint: string): boolean =>
  cache.entries.has(cacheKey(model, prefixHint))

const note = (cache: PrefixCache, model: string, prefixHint: string, present: boolean, atMs: number): PrefixCache => ({
  ...cache,
  changes: [...cache.changes, { sequence: cache.nextSequence, model, prefixHint, present, atMs }].slice(-KEPT_CHANGES),
  nextSequence: cache.nextSequence + 1
})

/** Makes a prefix the most recent one and evicts what no longer fits. */
export const touchPrefix = (cache: PrefixCache, model: string, prefixHint: string, roomCount: number, atMs: number): PrefixCache => {
  const key = cacheKey(model, prefixHint)
  const known = cache.entries.has(key)
  const entries = new Map(cache.entries)
  entries.delete(key)
  entries.set(key, { model, prefixHint })
  let next: PrefixCache = { ...cache, entries }
  if (!known) next = note(next, model, prefixHint, true, atMs)
  for (const [oldest, entry] of entries) {
    if (entries.size <= roomCount) break
    entries.delete(oldest)
    next = note(next, entry.model, entry.prefixHint, false, atMs)
  }
  return next
}

/** Forgets all prefixes of a model that left memory. */
export const dropModelPrefixes = (cache: PrefixCache, model: string, atMs: number): PrefixCache => {
  let next = cache
  for (const [key, entry] of cache.entries) {
    if (entry.model !== model) continue
    const entries = new Map(next.entries)
    entries.delete(key)
    next = note({ ...next, entries }, model, entry.prefixHint, false, atMs)
  }
  return next
}

/** Changes after a sequence number that are old enough to be told; every `gapEvery`-th is lost. */
export const tellChanges = (cache: PrefixCache, afterSequence: number, delayMs: number, gapEvery: number, nowMs: number): readonly CacheChange[] =>
  cache.changes.filter(change =>
    change.sequence > afterSequence &&
    nowMs - change.atMs >= delayMs &&
    (gapEvery === 0 || change.sequence % gapEvery !== 0))
