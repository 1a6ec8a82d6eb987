import type { ConfigItem } from '@figmount/schema'
import type { ConfigDraft } from '../configFile/types.js'

/** A changed value of an item; undefined if the value does not exist on that side. */
export interface ValueChange {
  readonly path: string
  readonly before: string | undefined
  readonly after: string | undefined
}

/** The changes to one item that applying a file would make. */
export interface ItemChange {
  readonly draft: ConfigDraft
  /** Version on which the change is based; 0 for a new item. */
  readonly expectedVersion: number
  readonly changes: readonly ValueChange[]
}

const labelOf = (entry: unknown, index: number): string => {
  const name = (entry as { name?: unknown } | null)?.name
  return typeof name === 'string' ? name : String(index)
}

/** Flattens an item's body to `path → value`. Paths contain the names of named list entries, so that their order does not matter. */
const flatten = (value: unknown, path: string, into: Map<string, string>): Map<string, string> => {
  if (Array.isArray(value) && value.some(entry => typeof entry === 'object')) {
    for (const [index, entry] of value.entries()) flatten(entry, `${path}.${labelOf(entry, index)}`, into)
    return into
  }
  if (typeof value === 'object' && value !== null && !Array.isArray(value)) {
    for (const [key, entry] of Object.entries(value)) flatten(entry, path === '' ? key : `${path}.${key}`, into)
    return into
  }
  into.set(path, JSON.stringify(value))
  return into
}

const diffValues = (before: ReadonlyMap<string, string>, after: ReadonlyMap<string, string>): readonly ValueChange[] => {
  const paths = [...new Set([...before.keys(), ...after.keys()])].sort()
  const changes: ValueChange[] = []
  for (const path of paths) {
    const oldValue = before.get(path)
    const newValue = after.get(path)
    if (oldValue !== newValue) changes.push({ path, before: oldValue, after: newValue })
  }
  return changes
}

const parseBody = (item: ConfigItem | undefined): unknown =>
  item && !item.retired ? JSON.parse(item.bodyJson) : {}

/** Compares the items of a file with the current ones; returns those that differ, with every changed value. */
export const diffItems = (drafts: readonly ConfigDraft[], current: readonly ConfigItem[]): readonly ItemChange[] => {
  const byName = new Map(current.map(item => [item.name, item]))
  const itemChanges: ItemChange[] = []
  for (const draft of drafts) {
    const item = byName.get(draft.name)
    const changes = diffValues(flatten(parseBody(item), '', new Map()), flatten(draft.spec, '', new Map()))
    if (changes.length > 0) itemChanges.push({ draft, expectedVersion: Number(item?.version ?? 0n), changes })
  }
  return itemChanges
}

/** Formats a change as lines of text, in the manner of a diff. */
export const renderChange = (change: ItemChange): readonly string[] => {
  const lines = [`${change.draft.name} (version ${change.expectedVersion} → ${change.expectedVersion + 1})`]
  for (const { path, before, after } of change.changes) {
    if (before !== undefined) lines.push(`  - ${path} = ${before}`)
    if (after !== undefined) lines.push(`  + ${path} = ${after}`)
  }
  return lines
}
