import type { EventKind } from './types.js'

type Definitions = Readonly<Record<string, readonly [number: number, text: string]>>

/** Builds a package's catalogue of event kinds from entries of the form `name: [number, text]`. */
export const defineEvents = <D extends Definitions>(definitions: D): { readonly [Name in keyof D]: EventKind } => {
  const kinds: Record<string, EventKind> = {}
  for (const [name, [number, text]] of Object.entries(definitions)) {
    kinds[name] = { number, name, text }
  }
  return kinds as { readonly [Name in keyof D]: EventKind }
}
