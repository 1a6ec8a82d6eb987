import type { ConfigItem } from '@figmount/schema'
import type { ConfigDraft } from '../configFile/types.js'

/** One changed value of an item; undefined where the value does not exist on that side. */
export interface ValueChange {
  readonly path: string
  readonly before: string | undefined
  readonly after: string | undefined
}

/** What applying a file would change in one item. */
export interface ItemChange {
  readonly draft: ConfigDraft
  /** Version that the change is based on; 0 for a new item. */
  readonly expectedVersion: number
  readonly changes: readonly ValueChange[]
}

const labelOf = (entry: unknown, index: number): string => {
  const name = (entry as { name?: unknown } | null)?.name
  return typeof name === 'string' ? name : String(index)
}

/** Flattens a body to `path → value`; list entries that have a name go by it, so that order does not matter. */
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

const valueChanges = (before: ReadonlyMap<string, string>, after: ReadonlyMap<string, string>): readonly ValueChange[] => {
  const paths = [...new Set([...before.keys(), ...after.keys()])].sort()
  const changes: ValueChange[] = []
  for (const path of paths) {
    const was = before.get(path)
    const is = after.get(path)
    if (was !== is) changes.push({ path, before: was, after: is })
  }
  return changes
}

const parseBody = (item: ConfigItem | undefined): unknown =>
  item && !item.retired ? JSON.parse(item.bodyJson) : {}

/** Items that a file would change, with every changed value. */
export const diffItems = (drafts: readonly ConfigDraft[], current: readonly ConfigItem[]): readonly ItemChange[] => {
  const byName = new Map(current.map(item => [item.name, item]))
  const changed: ItemChange[] = []
  for (const draft of drafts) {
    const item = byName.get(draft.name)
    const changes = valueChanges(flatten(parseBody(item), '', new Map()), flatten(draft.spec, '', new Map()))
    if (changes.length > 0) changed.push({ draft, expectedVersion: Number(item?.version ?? 0n), changes })
  }
  return changed
}

/** The change as lines for people. */
export const renderChange = (change: ItemChange): readonly string[] => {
  const lines = [`${change.draft.name} (version ${change.expectedVersion} → ${change.expectedVersion + 1})`]
  for (const { path, before, after } of change.changes) {
    if (before !== undefined) lines.push(`  - ${path} = ${before}`)
    if (after !== undefined) lines.push(`  + ${path} = ${after}`)
  }
  return lines
}
