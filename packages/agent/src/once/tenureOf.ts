import { AUTHORITY_MS, CLOCK_ERROR_MS } from '@figmount/records'

import type { HeldKeys } from '../rights/types.js'
import type { Tenure } from './types.js'

/** How the agent came to hold a `keys` right. */
export type TenureOrigin = 'first' | 'release' | 'voidOrRestart'

/** The tenure that a held right gives; undefined when it gives none. */
export const tenureOf = (keys: HeldKeys | undefined, origin: TenureOrigin): Tenure | undefined => {
  if (!keys || keys.revoked || !keys.isOwnTenure) return undefined
  const marginMs = origin === 'release' ? CLOCK_ERROR_MS : AUTHORITY_MS + CLOCK_ERROR_MS
  return { fromMs: keys.tenureFromMs, marginMs, isFirst: origin === 'first' }
}
