import type { HeldKeys } from '../rights/types.js'
import type { Tenure } from './types.js'

/** The tenure that a held right gives; undefined when it gives none. */
export const tenureOf = (keys: HeldKeys | undefined): Tenure | undefined =>
  keys && !keys.revoked && keys.isOwnTenure ? { fromMs: keys.keysFromMs } : undefined
