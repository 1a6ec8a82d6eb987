import type { ModelId } from '@figmount/base'
import type { Holding, Ledger } from './types.js'

/** Key of a holding in the ledger. */
export const holdingId = (model: ModelId, adapter: string): string => adapter === '' ? model : `${model}#${adapter}`

/** A ledger that holds nothing. */
export const emptyLedger = (capacityMb: number, kvCacheMb: number): Ledger => ({ capacityMb, kvCacheMb, holdings: new Map() })

/** Memory that is taken, KV cache included. */
export const usedMb = (ledger: Ledger): number => {
  let sumMb = ledger.kvCacheMb
  for (const holding of ledger.holdings.values()) sumMb += holding.memoryMb
  return sumMb
}

/** Memory that may still be reserved; negative when the engine was found to hold more than fits. */
export const freeMb = (ledger: Ledger): number => ledger.capacityMb - usedMb(ledger)

/** Reserves memory for a load; undefined when it does not fit. A known holding keeps the greater of the two sizes. */
export const reserve = (ledger: Ledger, holding: Holding): Ledger | undefined => {
  const id = holdingId(holding.model, holding.adapter)
  const knownMb = ledger.holdings.get(id)?.memoryMb ?? 0
  const memoryMb = Math.max(knownMb, holding.memoryMb)
  if (memoryMb - knownMb > freeMb(ledger)) return undefined
  return { ...ledger, holdings: new Map(ledger.holdings).set(id, { ...holding, memoryMb }) }
}

/** Counts what the engine holds without having been reserved, also beyond the capacity: it is there. */
export const adopt = (ledger: Ledger, holding: Holding): Ledger =>
  ({ ...ledger, holdings: new Map(ledger.holdings).set(holdingId(holding.model, holding.adapter), holding) })

/** Releases a holding that the engine is known not to have; with a model go its adapters. */
export const release = (ledger: Ledger, model: ModelId, adapter: string): Ledger => {
  const holdings = new Map(ledger.holdings)
  holdings.delete(holdingId(model, adapter))
  if (adapter !== '') return { ...ledger, holdings }
  for (const [id, holding] of holdings) {
    if (holding.model === model) holdings.delete(id)
  }
  return { ...ledger, holdings }
}

/** Takes over the capacity that the engine reports. */
export const resize = (ledger: Ledger, capacityMb: number): Ledger => ({ ...ledger, capacityMb })
