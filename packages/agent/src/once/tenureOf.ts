import type { HeldKeys } from '../rights/types.js'
import type { Tenure } from './types.js'

/** The tenure of a held `keys` right; undefined if it is revoked or not renewed for this run of the agent. */
export const tenureOf = (keys: HeldKeys | undefined): Tenure | undefined =>
  keys && !keys.revoked && keys.isOwnTenure ? { fromMs: keys.keysFromMs } : undefined
