import type * as z from 'zod'
import type { routerSettings } from './routerSettings.js'

/** An operator, identified by the hash of its key. */
export interface OperatorKey {
  readonly name: string
  readonly keySha256: string
}

export type RouterSettings = Readonly<z.infer<typeof routerSettings>>
