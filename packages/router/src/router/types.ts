import type { Incarnation, InstanceName, ProcessContext } from '@figmount/base'
import type { ChooseBackend, ChooseRetryAfter } from '@figmount/decisions'
import type { SnapshotTrackingClient } from '@figmount/records'
import type { ReadInstances } from '../membership/pollInstances.js'
import type { ProposeRights } from '../proposals/types.js'
import type { AbsentEngine } from '../voids/types.js'
import type { RouterSettings } from '../settings/types.js'

/** Dependencies of a router; tests pass fakes of the platform. */
export interface RouterParts extends ProcessContext<RouterSettings> {
  readonly instance: InstanceName
  readonly incarnation: Incarnation
  readonly records: SnapshotTrackingClient
  readonly readInstances: ReadInstances
  readonly chooseBackend: ChooseBackend
  readonly chooseRetryAfter: ChooseRetryAfter
  readonly proposeRights: ProposeRights
  /** Creates a client for the engine of an instance that is no longer on the platform's list. */
  readonly openAbsentEngine: (address: string) => AbsentEngine
  /** Returns numbers in [0, 1). */
  readonly random: () => number
}
