import type { InstanceName } from '@figmount/base'

/** A request that was running when its engine died. The fingerprint covers the request's content, not its key. */
export interface Suspect {
  readonly fingerprint: string
  readonly deaths: readonly SuspectDeath[]
}

/** One death of an engine. `alone`: the suspect was the only running request. */
export interface SuspectDeath {
  readonly deathId: string
  readonly instance: InstanceName
  readonly atMs: number
  readonly alone: boolean
}
