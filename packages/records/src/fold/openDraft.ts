import type { LogOffset } from '@figmount/base'
import type { AgreedState } from './types.js'

type Mutable<T> =
  T extends ReadonlyMap<infer K, infer V> ? Map<K, V>
    : T extends ReadonlySet<infer V> ? Set<V>
      : never

type Collection = 'items' | 'history' | 'agents' | 'rights' | 'suspects' | 'recentRecordIds'

/** A state that is being changed. Each collection is copied at its first change only. */
export interface Draft {
  /** The state as changed so far; not to be kept. */
  readonly state: AgreedState
  /** The collection, free to be changed. */
  readonly change: <Name extends Collection>(name: Name) => Mutable<AgreedState[Name]>
  /** Moves on to the next record. */
  readonly step: (nextOffset: LogOffset, asOfMs: number) => void
}

const copyOf = (collection: AgreedState[Collection]): Mutable<AgreedState[Collection]> =>
  (collection instanceof Set ? new Set(collection) : new Map(collection as ReadonlyMap<unknown, unknown>)) as Mutable<AgreedState[Collection]>

/** Opens a draft over a state that stays as it is. */
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
