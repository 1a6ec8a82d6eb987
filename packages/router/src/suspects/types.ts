import type { InstanceName } from '@figmount/base'
import type { SuspectVerdict } from '@figmount/records'

/** Requests suspected of crashing engines, as recorded in the log or reported by peers. */
export interface Suspects {
  readonly verdictOf: (fingerprint: string) => SuspectVerdict
  /** Adds a suspicion reported by a peer; returns false if it is already present. */
  readonly addFromPeer: (suspicion: Suspicion) => boolean
  /** Removes peers' reports about a fingerprint after the log has cleared it. */
  readonly clear: (fingerprint: string) => void
}

/** A crash of an engine and the fingerprints of the requests that were running on it. */
export interface Suspicion {
  readonly fingerprints: readonly string[]
  readonly deathId: string
  readonly instance: InstanceName
}
