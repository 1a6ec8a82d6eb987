import { createPartHistory } from '@figmount/fleet'

import { createCrashNotifier } from '../crashes/createCrashNotifier.js'
import { createPartGuard } from '../crashes/createPartGuard.js'

import type { EventLog, TimerService } from '@figmount/base'
import type { CrashNotice } from '@figmount/fleet'
import type { PartGuard } from '../crashes/createPartGuard.js'

/** A guard whose notices go to `send`. */
export const makePartGuard = (timers: TimerService, events: EventLog, send: (notice: CrashNotice) => void = () => {}): PartGuard =>
  createPartGuard({ timers, events, history: createPartHistory(timers), crashNotifier: createCrashNotifier(timers, send) })
