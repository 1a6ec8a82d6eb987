import type { LogOffset } from '@figmount/base'
import type { AgreedState } from './types.js'

type Mutable<T> =
  T extends ReadonlyMap<infer K, infer V> ? Map<K, V>
    : T extends ReadonlySet<infer V> ? Set<V>
      : never

type Collection = 'items' | 'history' | 'agents' | 'rights' | 'suspects' | 'recentRecordIds'

/** A mutable copy of a state. Each collection is copied only when it is first changed. */
export interface Draft {
  /** The state as changed so far; don't hold on to it, because it changes with the draft. */
  readonly state: AgreedState
  /** Returns the draft's own copy of a collection, which may be modified. */
  readonly change: <Name extends Collection>(name: Name) => Mutable<AgreedState[Name]>
  /** Advances the state's offset and log time to the next record. */
  readonly step: (nextOffset: LogOffset, asOfMs: number) => void
}

const copyOf = (collection: AgreedState[Collection]): Mutable<AgreedState[Collection]> =>
  (collection instanceof Set ? new Set(collection) : new Map(collection as ReadonlyMap<unknown, unknown>)) as Mutable<AgreedState[Collection]>

/** Opens a draft based on a state; the state itself is not changed. */
export const openDraft = (base: AgreedState): Draft => {
  const state: { -readonly [Key in keyof AgreedState]: AgreedState[Key] } = { ...base }
  const copied = new Set<Collection>()

  const change = <Name extends Collection>(name: Name): Mutable<AgreedState[Name]> => {
    if (!copied.has(name)) {
      Object.assign(state, { [name]: copyOf(state[name]) })
      copied.add(name)
    }
    return state[name] as Mutable<AgreedState[Name]>
  }

  const step = (nextOffset: LogOffset, asOfMs: number): void => {
    state.nextOffset = nextOffset
    state.asOfMs = asOfMs
  }

  return { state, change, step }
}
