import type { InstanceName } from '@figmount/base'
import type { SuspectVerdict } from '@figmount/records'

/** The suspicions that are in force at this router, from the log and from peers. */
export interface Suspects {
  readonly verdictOf: (fingerprint: string) => SuspectVerdict
  /** Takes a suspicion from a peer; false if it is known already. */
  readonly hear: (suspicion: Suspicion) => boolean
  /** Forgets what peers said of a fingerprint; the log has cleared it. */
  readonly clear: (fingerprint: string) => void
}

/** A death of an engine and the requests that were running on it. */
export interface Suspicion {
  readonly fingerprints: readonly string[]
  readonly deathId: string
  readonly instance: InstanceName
}
