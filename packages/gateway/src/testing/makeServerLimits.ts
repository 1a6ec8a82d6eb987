import { createEventLog } from '@figmount/base'

import { createServerLimits } from '../serverLimits/createServerLimits.js'

import type { InstanceName, TimerService } from '@figmount/base'
import type { ServerLimits } from '../serverLimits/createServerLimits.js'

/** Limits of a router that shares them with no other. */
export const makeServerLimits = (timers: TimerService): ServerLimits => createServerLimits({
  timers,
  events: createEventLog({ instance: 'r' as InstanceName, role: 'router', timers }),
  routerCount: () => 1,
  send: () => {},
  random: () => 0
})
