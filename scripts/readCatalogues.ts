/** Collects the event kinds defined by all packages. */
import { readdirSync } from 'node:fs'
import { join, resolve } from 'node:path'

import type { EventKind } from '@figmount/base'

const CATALOGUE_FILE = /(^|\/)(events|catalogue)\.ts$/

const findCatalogueFiles = (): readonly string[] =>
  readdirSync('packages', { recursive: true, encoding: 'utf8' })
    .filter(file => !file.includes('node_modules') && CATALOGUE_FILE.test(file))
    .map(file => join('packages', file))
    .sort()

const isEventKind = (value: unknown): value is EventKind => {
  const kind = value as Partial<EventKind> | null
  return typeof kind === 'object' && kind !== null && typeof kind.number === 'number' && typeof kind.name === 'string' && typeof kind.text === 'string'
}

/** Returns the event kinds of all packages, sorted by number. Throws if two kinds have the same number. */
export const readCatalogues = async (): Promise<readonly EventKind[]> => {
  const kinds = new Map<number, EventKind>()
  for (const file of findCatalogueFiles()) {
    const module = await import(resolve(file)) as Readonly<Record<string, unknown>>
    for (const exported of Object.values(module)) {
      if (typeof exported !== 'object' || exported === null) continue
      for (const kind of Object.values(exported)) {
        if (!isEventKind(kind)) continue
        const existing = kinds.get(kind.number)
        if (existing && existing.name !== kind.name) throw new Error(`event number ${kind.number} is used by ${existing.name} and ${kind.name}`)
        kinds.set(kind.number, kind)
      }
    }
  }
  return [...kinds.values()].sort((a, b) => a.number - b.number)
}
