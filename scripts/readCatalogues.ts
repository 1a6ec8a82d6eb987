/** Finds every event kind that the packages define. */
import { readdirSync } from 'node:fs'
import { join, resolve } from 'node:path'

import type { EventKind } from '@figmount/base'

const CATALOGUE_FILE = /(^|\/)(events|catalogue)\.ts$/

const catalogueFiles = (): readonly string[] =>
  readdirSync('packages', { recursive: true, encoding: 'utf8' })
    .filter(file => !file.includes('node_modules') && CATALOGUE_FILE.test(file))
    .map(file => join('packages', file))
    .sort()

const isEventKind = (value: unknown): value is EventKind => {
  const kind = value as Partial<EventKind> | null
  return typeof kind === 'object' && kind !== null && typeof kind.number === 'number' && typeof kind.name === 'string' && typeof kind.text === 'string'
}

/** Event kinds of all packages, by number. Throws when a number is used twice. */
export const readCatalogues = async (): Promise<readonly EventKind[]> => {
  const kinds = new Map<number, EventKind>()
  for (const file of catalogueFiles()) {
    const module = await import(resolve(file)) as Readonly<Record<string, unknown>>
    for (const exported of Object.values(module)) {
      if (typeof exported !== 'object' || exported === null) continue
      for (const kind of Object.values(exported)) {
        if (!isEventKind(kind)) continue
        const other = kinds.get(kind.number)
        if (other && other.name !== kind.name) throw new Error(`event ${kind.number} is ${other.name} and ${kind.name}`)
        kinds.set(kind.number, kind)
      }
    }
  }
  return [...kinds.values()].sort((a, b) => a.number - b.number)
}
