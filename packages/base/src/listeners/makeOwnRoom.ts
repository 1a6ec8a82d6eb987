import { createEventLog } from '../events/createEventLog.js'
import { createMetrics } from '../metrics/createMetrics.js'
import { createConnectionRoom } from './createConnectionRoom.js'

import type { InstanceName } from '../ids/types.js'
import type { TimerService } from '../timers/types.js'
import type { ConnectionLimits, ConnectionRoom } from './types.js'

/** Makes a room with events and metrics of its own, for tests and benches that are no processes. */
export const makeOwnRoom = (timers: TimerService, limits?: ConnectionLimits): ConnectionRoom => createConnectionRoom({
  timers, events: createEventLog({ instance: 'own' as InstanceName, role: 'own', timers }), metrics: createMetrics(), ...(limits ? { limits } : {})
})
