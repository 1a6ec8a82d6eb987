import createXxhash from 'xxhash-wasm'

const { h64 } = await createXxhash()

/** 64-bit xxHash of a text; equal in every process. */
export const hash64 = (text: string): bigint => h64(text)

/** Sorts names by rendezvous hash weight for `key`, highest first; ties are broken by name. */
export const rankByRendezvous = <N extends string>(key: string, names: readonly N[]): readonly N[] => {
  const weighted = names.map(name => ({ name, weight: hash64(`${key}\u0000${name}`) }))
  return weighted
    .sort((a, b) => a.weight === b.weight ? (a.name < b.name ? -1 : 1) : (a.weight > b.weight ? -1 : 1))
    .map(entry => entry.name)
}
