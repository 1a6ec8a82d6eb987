import type { MemoryState, ResidentEntry } from './types.js'

export const emptyMemory = (capacityMb: number): MemoryState => ({ capacityMb, residents: new Map() })

const entryMb = (entry: ResidentEntry): number =>
  entry.memoryMb + [...entry.adapters.values()].reduce((sum, mb) => sum + mb, 0)

/** Memory reserved for models and adapters, including loads in progress. */
export const usedMb = (state: MemoryState): number =>
  [...state.residents.values()].reduce((sum, entry) => sum + entryMb(entry), 0)

export const fits = (state: MemoryState, memoryMb: number): boolean => usedMb(state) + memoryMb <= state.capacityMb

export const setResident = (state: MemoryState, entry: ResidentEntry): MemoryState =>
  ({ ...state, residents: new Map(state.residents).set(entry.model, entry) })

export const removeResident = (state: MemoryState, model: string): MemoryState => {
  const residents = new Map(state.residents)
  residents.delete(model)
  return { ...state, residents }
}

export const setAdapter = (entry: ResidentEntry, adapter: string, memoryMb: number): ResidentEntry =>
  ({ ...entry, adapters: new Map(entry.adapters).set(adapter, memoryMb) })

export const removeAdapter = (entry: ResidentEntry, adapter: string): ResidentEntry => {
  const adapters = new Map(entry.adapters)
  adapters.delete(adapter)
  return { ...entry, adapters }
}
