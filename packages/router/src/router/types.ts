import type { Incarnation, InstanceName, ProcessContext } from '@figmount/base'
import type { ChooseBackend, ChooseRetryAfter } from '@figmount/decisions'
import type { FollowingClient } from '@figmount/records'
import type { ReadInstances } from '../membership/pollInstances.js'
import type { ProposeRights } from '../proposals/types.js'
import type { AbsentEngine } from '../voids/types.js'
import type { RouterSettings } from '../settings/types.js'

/** What a router is put together from; tests pass fakes of the platform. */
export interface RouterParts extends ProcessContext<RouterSettings> {
  readonly instance: InstanceName
  readonly incarnation: Incarnation
  readonly records: FollowingClient
  readonly readInstances: ReadInstances
  readonly chooseBackend: ChooseBackend
  readonly chooseRetryAfter: ChooseRetryAfter
  readonly proposeRights: ProposeRights
  /** Opens the engine beside an instance that is off the list. */
  readonly openAbsentEngine: (address: string) => AbsentEngine
  /** Yields numbers in [0, 1). */
  readonly random: () => number
}
