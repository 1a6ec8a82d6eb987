import type { ModelId } from '@figmount/base'
import type { Holding, Ledger } from './types.js'

/** Key of a holding in the ledger. */
export const holdingId = (model: ModelId, adapter: string): string => adapter === '' ? model : `${model}#${adapter}`

/** A ledger without holdings. */
export const emptyLedger = (capacityMb: number, kvCacheMb: number): Ledger => ({ capacityMb, kvCacheMb, holdings: new Map() })

/** Memory in use, including the KV cache. */
export const usedMb = (ledger: Ledger): number => {
  let sumMb = ledger.kvCacheMb
  for (const holding of ledger.holdings.values()) sumMb += holding.memoryMb
  return sumMb
}

/** Memory that can still be reserved; negative if the engine's inventory exceeds its capacity. */
export const freeMb = (ledger: Ledger): number => ledger.capacityMb - usedMb(ledger)

/** Reserves memory for a load; undefined if it does not fit. An existing holding keeps the larger of the two sizes. */
export const reserve = (ledger: Ledger, holding: Holding): Ledger | undefined => {
  const id = holdingId(holding.model, holding.adapter)
  const knownMb = ledger.holdings.get(id)?.memoryMb ?? 0
  const memoryMb = Math.max(knownMb, holding.memoryMb)
  if (memoryMb - knownMb > freeMb(ledger)) return undefined
  return { ...ledger, holdings: new Map(ledger.holdings).set(id, { ...holding, memoryMb }) }
}

/** Adds memory that the engine already uses, even beyond the capacity. */
export const adopt = (ledger: Ledger, holding: Holding): Ledger =>
  ({ ...ledger, holdings: new Map(ledger.holdings).set(holdingId(holding.model, holding.adapter), holding) })

/** Removes a holding that the engine no longer has; removing a model also removes its adapters. */
export const release = (ledger: Ledger, model: ModelId, adapter: string): Ledger => {
  const holdings = new Map(ledger.holdings)
  holdings.delete(holdingId(model, adapter))
  if (adapter !== '') return { ...ledger, holdings }
  for (const [id, holding] of holdings) {
    if (holding.model === model) holdings.delete(id)
  }
  return { ...ledger, holdings }
}

/** Sets the capacity that the engine reports. */
export const resize = (ledger: Ledger, capacityMb: number): Ledger => ({ ...ledger, capacityMb })
